package org.onyxhinge.core.place;

/**
 * A rate limit advertised by a target.
 *
 * @param incarnation the target's incarnation
 * @param perSecond requests per second that the target accepts from all routers together
 * @param atMs when the target last advertised it, as far as this router knows
 */
public record AdvertisedRate(String incarnation, double perSecond, long atMs) {}
