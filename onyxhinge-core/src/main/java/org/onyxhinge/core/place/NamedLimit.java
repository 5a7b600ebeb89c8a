package org.onyxhinge.core.place;

/** What an answer says of how many requests its target takes, from all routers together. */
public sealed interface NamedLimit {

    /** It says nothing: the target takes what its slots hold. */
    record None() implements NamedLimit {}

    /**
     * It names a rate limit.
     *
     * @param perSecond requests a second, 0 or more
     */
    record PerSecond(double perSecond) implements NamedLimit {}

    /**
     * It says something that is no limit; what is known of the target stays.
     *
     * @param text what it says
     */
    record Unreadable(String text) implements NamedLimit {}

    /** Reads a limit; null for none. */
    static NamedLimit parse(String text) {
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
