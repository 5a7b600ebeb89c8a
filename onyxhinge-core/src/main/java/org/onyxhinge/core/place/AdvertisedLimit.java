package org.onyxhinge.core.place;

/** What a response says about the number of requests its target accepts from all routers together. */
public sealed interface AdvertisedLimit {

    /** No limit is given: the target accepts as many requests as it has slots. */
    record None() implements AdvertisedLimit {}

    /**
     * A rate limit.
     *
     * @param perSecond requests per second, 0 or more
     */
    record PerSecond(double perSecond) implements AdvertisedLimit {}

    /**
     * A value that is not a valid limit; the known state of the target is kept.
     *
     * @param text the value received
     */
    record Unreadable(String text) implements AdvertisedLimit {}

    /** Parses a limit; null means that none is given. */
    static AdvertisedLimit parse(String text) {
        if (text == null) {
            return new None();
        }
        try {
            double perSecond = Double.parseDouble(text.trim());
            return perSecond >= 0 && Double.isFinite(perSecond) ? new PerSecond(perSecond) : new Unreadable(text);
        } catch (NumberFormatException e) {
            return new Unreadable(text);
        }
    }
}
