package org.onyxhinge.router.forward;

import org.jboss.logging.Logger;

/** Parser for the {@code Retry-After} header of a target's response (RFC 9110, section 10.2.3). */
public final class RetryAfter {

    private static final Logger LOG = Logger.getLogger(RetryAfter.class);
    private static final double MS_PER_SECOND = 1_000;

    /** Longer delays are cut to this one: a target that wants no calls for hours should leave the registry. */
    private static final long MAX_DELAY_MS = 3_600_000;

    private RetryAfter() {}

    /**
     * Returns the delay in ms; 0 if there is none. Whole and fractional seconds are understood. An HTTP date is not:
     * the clocks of targets and routers may differ by more than the usual delay.
     *
     * @param text value of the header; null if it is absent
     */
    public static long parseMs(String text) {
        if (text == null) {
            return 0;
        }
        try {
            double seconds = Double.parseDouble(text.trim());
            if (seconds >= 0) {
                return (long) Math.min(MAX_DELAY_MS, Math.ceil(seconds * MS_PER_SECOND));
            }
        } catch (NumberFormatException e) {
            LOG.debugf("Retry-After is not a number error=%s", e.getMessage());
        }
        LOG.warnf("Retry-After of a target is unreadable text=\"%s\"", text);
        return 0;
    }
}
