/**
 * Admission, routing, queueing and shedding decisions over unlike engines. The {@link
 * org.onyxhinge.core.schedule.Scheduler} is owned by one thread and returns {@link
 * org.onyxhinge.core.schedule.Action}s for the adapters to carry out.
 */
package org.onyxhinge.core.schedule;
