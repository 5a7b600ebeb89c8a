/** A small site embedded in a single JVM, and the demo command that sends a workload to it. */
package org.onyxhinge.tools.demo;
