/**
 * Measurements behind docs/CAPACITY.md: JMH benchmarks of decisions and messages, and the footprint of each
 * process while idle and under traffic, measured on small fleets of real processes.
 */
package org.onyxhinge.tools.capacity;
