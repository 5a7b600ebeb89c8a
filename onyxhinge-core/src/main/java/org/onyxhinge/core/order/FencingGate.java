package org.onyxhinge.core.order;

import org.onyxhinge.core.schedule.Invariants;

/**
 * Rejects orders whose fencing token is older than the newest token seen. Not thread-safe.
 *
 * <p>A lease holder may resend the same order, so an equal token is accepted.
 */
public final class FencingGate {

    private long highestToken;

    private FencingGate() {}

    /** Creates a gate that has seen no token. */
    public static FencingGate create() {
        return new FencingGate();
    }

    /** Takes into account a token seen elsewhere, for example in the lease key itself. */
    public void observe(long token) {
        highestToken = Math.max(highestToken, token);
    }

    /** True when an order with this token may be carried out; the token then becomes the newest seen. */
    public boolean admit(long token) {
        if (token < highestToken) {
            return false;
        }
        long before = highestToken;
        highestToken = token;
        Invariants.check(highestToken >= before, "fencing tokens never decrease", token);
        return true;
    }

    /** The newest token seen, 0 at first. */
    public long highestToken() {
        return highestToken;
    }
}
