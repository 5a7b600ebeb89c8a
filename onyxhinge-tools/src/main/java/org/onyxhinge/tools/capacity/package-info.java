/**
 * What the capacity page is worked out from: cost of a decision and of a message (JMH), and what each
 * process takes while quiet, measured on small fleets of real processes.
 */
package org.onyxhinge.tools.capacity;
