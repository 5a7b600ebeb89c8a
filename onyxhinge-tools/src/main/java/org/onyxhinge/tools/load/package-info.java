/** Workloads, the driver that sends them to routers, and summaries of the measured outcomes. */
package org.onyxhinge.tools.load;
