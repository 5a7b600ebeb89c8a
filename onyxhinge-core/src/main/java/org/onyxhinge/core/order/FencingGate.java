package org.onyxhinge.core.order;

import org.onyxhinge.core.schedule.Invariants;

/**
 * Lets an order through only if no order of a newer holder has been let through before. Not
 * thread-safe.
 *
 * <p>The same order may be sent again by its own holder, so an equal token passes.
 */
public final class FencingGate {

    private long highestToken;

    private FencingGate() {}

    /** A gate that has seen no token. */
    public static FencingGate create() {
        return new FencingGate();
    }

    /** Learns of a token from elsewhere, for example the lease key itself. */
    public void learn(long token) {
        highestToken = Math.max(highestToken, token);
    }

    /** True when an order with this token may be carried out; it is then the newest seen. */
    public boolean admit(long token) {
        if (token < highestToken) {
            return false;
        }
        long before = highestToken;
        highestToken = token;
        Invariants.check(highestToken >= before, "fencing tokens never go back", token);
        return true;
    }

    /** The newest token seen, 0 at first. */
    public long highestToken() {
        return highestToken;
    }
}
