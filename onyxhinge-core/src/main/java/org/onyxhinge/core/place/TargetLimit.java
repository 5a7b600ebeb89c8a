package org.onyxhinge.core.place;

import java.util.HashMap;
import java.util.Map;

import org.onyxhinge.core.limit.TokenBucket;

/**
 * A target's rate limit, which all routers keep together: one of those that share the target gives out what it allows,
 * to its own calls or, by reserving slots, to those of others. A part for each router would be too small to be of use:
 * limits are a few requests a second, and routers are many.
 */
final class TargetLimit {

    /** Lower limits, 0 included, are raised to this: only an answer can tell that a limit has ended. */
    private static final double LEAST_PER_SECOND = 0.2;

    /** After so long without a call the target is preferred whatever it costs, for the same reason. */
    private static final long LONGEST_UNUSED_MS = 2_000;

    /** Tokens that may gather: a target in need is not to get a burst after a pause. */
    private static final double MOST_AT_ONCE = 1;

    private final double perSecond;
    /** When a call of each other router was last let go to the target. */
    private final Map<String, Long> servedAtMs = new HashMap<>();

    private long servedHereAtMs;
    private long namedAtMs;
    private long usedAtMs;
    private boolean givenOutHere;
    private TokenBucket bucket;

    /**
     * A limit that another router gives out.
     *
     * @param perSecond requests a second, as the target named it
     * @param namedAtMs when an answer last named it
     */
    TargetLimit(double perSecond, long namedAtMs) {
        this.perSecond = perSecond;
        this.namedAtMs = namedAtMs;
        this.usedAtMs = namedAtMs;
    }

    double perSecond() {
        return perSecond;
    }

    /** When an answer last named it, as far as is known here. */
    long namedAtMs() {
        return namedAtMs;
    }

    /** Notes that an answer has named it once more. */
    void namedAgain(long atMs) {
        namedAtMs = Math.max(namedAtMs, atMs);
    }

    /** Sets whether this router gives it out. */
    void givenOutHere(boolean here) {
        givenOutHere = here;
        if (!here) {
            bucket = null;
        }
    }

    boolean isGivenOutHere() {
        return givenOutHere;
    }

    /** Calls that this router may send, or let others send, now. */
    int allows(long nowMs) {
        return givenOutHere ? Math.max(0, bucket(nowMs).tokens(nowMs)) : 0;
    }

    /** Notes a call that goes to the target, or a slot there that is reserved for another router. */
    void use(long nowMs) {
        if (givenOutHere) {
            bucket(nowMs).take(nowMs);
            usedAtMs = nowMs;
        }
    }

    /** When a call of another router was last let go there; 0 for never. */
    long servedAtMs(String router) {
        return servedAtMs.getOrDefault(router, 0L);
    }

    /** Whether another router goes before this one: it was served longer ago. */
    boolean isTurnOf(String router) {
        return servedAtMs(router) < servedHereAtMs;
    }

    /** Notes a slot that is reserved for another router. */
    void served(String router, long nowMs) {
        servedAtMs.put(router, nowMs);
    }

    /** Notes a call of this router. */
    void servedHere(long nowMs) {
        servedHereAtMs = nowMs;
    }

    /** True once a call is to go to the target whatever it costs, so that an answer tells whether the limit holds. */
    boolean wantsAnswer(long nowMs) {
        return givenOutHere && nowMs - usedAtMs >= LONGEST_UNUSED_MS;
    }

    private TokenBucket bucket(long nowMs) {
        if (bucket == null) {
            bucket = TokenBucket.filling(Math.max(LEAST_PER_SECOND, perSecond), MOST_AT_ONCE, nowMs);
        }
        return bucket;
    }
}
