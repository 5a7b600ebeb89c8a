package org.onyxhinge.tools.fleet;

/**
 * What one engine with a rate limit got.
 *
 * @param most most requests within {@link #WINDOW_MS}
 * @param all requests while the limit was named and known
 */
record LimitUse(int most, int all) {

    static final double WINDOW_MS = 4_000;

    /** By when every router knows of a limit. */
    static final double KNOWN_WITHIN_MS = 3_000;
}
