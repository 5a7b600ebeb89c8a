/**
 * Tools around the two binaries: the platform stand-ins as their own processes, the embedded demo
 * that runs the main job end to end on one machine, and the load and experiment tool.
 */
package org.onyxhinge.tools;
