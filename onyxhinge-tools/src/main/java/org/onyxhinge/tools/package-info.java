/**
 * Tools for the router and agent binaries: platform stand-ins as separate processes, an embedded end-to-end demo on a
 * single machine, and the load and experiment tool.
 */
package org.onyxhinge.tools;
