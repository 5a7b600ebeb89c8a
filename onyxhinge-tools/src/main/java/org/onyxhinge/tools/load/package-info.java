/** Workloads and the driver that sends them to a router on loopback and measures what came back. */
package org.onyxhinge.tools.load;
