package org.onyxhinge.core.schedule;

/**
 * A refusal or stop, as told to the caller.
 *
 * @param reason the typed reason
 * @param detail one sentence for a person
 * @param retryAfterMs when the caller may try again; 0 when it should not
 */
public record Refusal(RefusalReason reason, String detail, long retryAfterMs) {

    /** Creates a refusal that tells the caller to come back after {@code retryAfterMs}. */
    public static Refusal of(RefusalReason reason, String detail, long retryAfterMs) {
        return new Refusal(reason, detail, Math.max(0, retryAfterMs));
    }
}
