package org.onyxhinge.core.schedule;

/**
 * A refusal or preemption as reported to the caller.
 *
 * @param reason the typed reason
 * @param detail one human-readable sentence
 * @param retryAfterMs when the caller may retry; 0 when it should not
 */
public record Refusal(RefusalReason reason, String detail, long retryAfterMs) {

    /** Creates a refusal that tells the caller to retry after {@code retryAfterMs}. */
    public static Refusal of(RefusalReason reason, String detail, long retryAfterMs) {
        return new Refusal(reason, detail, Math.max(0, retryAfterMs));
    }
}
