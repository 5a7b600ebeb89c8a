/**
 * Admission, routing, queueing and load-shedding decisions over heterogeneous engines. The {@link
 * org.onyxhinge.core.schedule.Scheduler} is confined to one thread and returns {@link
 * org.onyxhinge.core.schedule.Action}s for the adapters to carry out.
 */
package org.onyxhinge.core.schedule;
