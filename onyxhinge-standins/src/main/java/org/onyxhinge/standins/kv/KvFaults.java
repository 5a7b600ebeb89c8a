package org.onyxhinge.standins.kv;

/**
 * Faults injected into the key-value stand-in.
 *
 * @param down true if every call is answered with {@code UNAVAILABLE}
 * @param delayMs additional delay before each reply
 * @param lostReplyPercent percentage of writes whose reply is dropped after the write took effect
 */
public record KvFaults(boolean down, long delayMs, int lostReplyPercent) {

    /** No faults. */
    public static KvFaults none() {
        return new KvFaults(false, 0, 0);
    }
}
