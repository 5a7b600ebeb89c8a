package org.onyxhinge.runtime.server;

/**
 * Limits of a single request, which may change while the server runs.
 *
 * @param maxHeadBytes maximum size of a head as received, of the trailer fields and of a chunk's extensions
 * @param headTimeoutMs maximum time from the first byte of a head to its last
 * @param idleTimeoutMs maximum time in which nothing of a body arrives
 * @param tooLarge status of the response to a larger head
 */
public record ServerLimits(int maxHeadBytes, long headTimeoutMs, long idleTimeoutMs, HeadStatus tooLarge) {

    /** How a head that is too large is refused. */
    public enum HeadStatus {
        /** For good: 431. */
        TOO_LARGE,
        /** With a time to come back, since other limits may be in force elsewhere: 503. */
        UNCERTAIN
    }

    /** Limits that refuse larger heads for good. */
    public static ServerLimits of(int maxHeadBytes, long headTimeoutMs, long idleTimeoutMs) {
        return new ServerLimits(maxHeadBytes, headTimeoutMs, idleTimeoutMs, HeadStatus.TOO_LARGE);
    }
}
