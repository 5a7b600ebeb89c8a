/**
 * Making room across routers: how an agent asks the other routers of its engine, one at a time, to stop
 * a request of a lower tier before one router refuses a higher one.
 */
package org.onyxhinge.core.room;
