package org.onyxhinge.core.place;

import java.util.HashMap;
import java.util.Map;

import org.onyxhinge.core.limit.TokenBucket;

/**
 * A target's rate limit, which all routers observe together. One of the routers that share the target manages the
 * limit: it allots the permitted calls to itself or, by reserving slots, to other routers. Splitting the limit evenly
 * would leave shares too small to be useful, because limits are a few requests per second and there are many routers.
 */
final class TargetLimit {

    /** Lower limits, including 0, are raised to this value: only a response can show that a limit has ended. */
    private static final double MIN_PER_SECOND = 0.2;

    /** After this time without a call the target is preferred regardless of cost, for the same reason. */
    private static final long MAX_IDLE_MS = 2_000;

    /** Maximum number of accumulated tokens: an overloaded target must not get a burst after a pause. */
    private static final double BURST = 1;

    private final double perSecond;
    /** When a call of each other router was last admitted to the target. */
    private final Map<String, Long> servedAtMs = new HashMap<>();

    private long servedHereAtMs;
    private long advertisedAtMs;
    private long usedAtMs;
    private boolean managedHere;
    private TokenBucket bucket;

    /**
     * Creates a limit that another router manages.
     *
     * @param perSecond requests per second, as advertised by the target
     * @param advertisedAtMs when a response last advertised it
     */
    TargetLimit(double perSecond, long advertisedAtMs) {
        this.perSecond = perSecond;
        this.advertisedAtMs = advertisedAtMs;
        this.usedAtMs = advertisedAtMs;
    }

    double perSecond() {
        return perSecond;
    }

    /** When a response last advertised the limit, as far as this router knows. */
    long advertisedAtMs() {
        return advertisedAtMs;
    }

    /** Records that a response has advertised the same limit again. */
    void advertisedAgain(long atMs) {
        advertisedAtMs = Math.max(advertisedAtMs, atMs);
    }

    /** Sets whether this router manages the limit. */
    void managedHere(boolean managed) {
        managedHere = managed;
        if (!managed) {
            bucket = null;
        }
    }

    boolean isManagedHere() {
        return managedHere;
    }

    /** Number of calls that this router may send, or let others send, now. */
    int allows(long nowMs) {
        return managedHere ? Math.max(0, bucket(nowMs).tokens(nowMs)) : 0;
    }

    /** Records a call sent to the target, or a slot there that is reserved for another router. */
    void use(long nowMs) {
        if (managedHere) {
            bucket(nowMs).take(nowMs);
            usedAtMs = nowMs;
        }
    }

    /** When a call of another router was last admitted; 0 for never. */
    long servedAtMs(String router) {
        return servedAtMs.getOrDefault(router, 0L);
    }

    /** Whether another router takes precedence over this one, because it was served less recently. */
    boolean isTurnOf(String router) {
        return servedAtMs(router) < servedHereAtMs;
    }

    /** Records a slot reserved for another router. */
    void served(String router, long nowMs) {
        servedAtMs.put(router, nowMs);
    }

    /** Records a call of this router. */
    void servedHere(long nowMs) {
        servedHereAtMs = nowMs;
    }

    /**
     * Whether a call must be sent to the target regardless of cost, so that its response shows whether the limit still
     * holds.
     */
    boolean needsProbe(long nowMs) {
        return managedHere && nowMs - usedAtMs >= MAX_IDLE_MS;
    }

    private TokenBucket bucket(long nowMs) {
        if (bucket == null) {
            bucket = TokenBucket.startingEmpty(Math.max(MIN_PER_SECOND, perSecond), BURST, nowMs);
        }
        return bucket;
    }
}
