package org.onyxhinge.router.forward;

/**
 * Limits on the response bytes that a router buffers for callers that read slowly.
 *
 * @param connectionBytes limit per caller connection; 0 for none
 * @param totalBytes limit for all caller connections together; 0 for none
 * @param stallMs how long a caller may read nothing while bytes are buffered for it
 */
public record ReaderLimits(long connectionBytes, long totalBytes, long stallMs) {

    /** How long a caller may read nothing unless the settings say otherwise. */
    public static final long DEFAULT_STALL_MS = 4_000;

    /** Returns limits that never take effect. */
    public static ReaderLimits none() {
        return new ReaderLimits(0, 0, DEFAULT_STALL_MS);
    }

    /** Whether any limit is set. */
    public boolean enabled() {
        return connectionBytes > 0 || totalBytes > 0;
    }
}
