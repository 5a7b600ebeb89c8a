package org.onyxhinge.standins.kv;

/**
 * Faults the key-value stand-in is told to show.
 *
 * @param down true while it refuses every call with {@code UNAVAILABLE}
 * @param delayMs extra time before each reply
 * @param lostReplyPercent share of writes whose reply is dropped after the write took effect
 */
public record KvFaults(boolean down, long delayMs, int lostReplyPercent) {

    /** No faults. */
    public static KvFaults none() {
        return new KvFaults(false, 0, 0);
    }
}
