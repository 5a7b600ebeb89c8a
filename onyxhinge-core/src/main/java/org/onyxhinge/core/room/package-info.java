/**
 * Preemption across routers: an agent asks the other routers of its engine, one at a time, to preempt a request of a
 * lower tier before one router has to refuse a request of a higher tier.
 */
package org.onyxhinge.core.room;
