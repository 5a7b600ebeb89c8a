/**
 * Placement of calls: which target a call is sent to, which calls are queued and which are refused, based on the
 * registry and on the running calls of this router and its peers. Performs no I/O and reads no clock.
 */
package org.onyxhinge.core.place;
