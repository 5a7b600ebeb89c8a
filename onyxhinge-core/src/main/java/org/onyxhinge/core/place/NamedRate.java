package org.onyxhinge.core.place;

/**
 * A rate limit that a target has named.
 *
 * @param incarnation the start of the target
 * @param perSecond requests a second that it takes from all routers together
 * @param atMs when it last named it, as far as is known here
 */
public record NamedRate(String incarnation, double perSecond, long atMs) {}
