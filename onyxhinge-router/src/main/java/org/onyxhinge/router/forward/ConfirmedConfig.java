package org.onyxhinge.router.forward;

import org.onyxhinge.core.route.ForwardingConfig;

/**
 * A configuration and when the store last confirmed that it is the newest. One value, so that a call is never checked
 * by one configuration under the confirmation of another.
 *
 * @param config the configuration
 * @param confirmedAtMs when the read that confirmed it was sent, as {@link Freshness#stampMs} tells the time;
 *     {@link Freshness#NEVER_MS} before the first
 */
record ConfirmedConfig(ForwardingConfig config, long confirmedAtMs) {

    /** A newer configuration than {@code before}; it is as fresh as that one until it is confirmed itself. */
    static ConfirmedConfig of(ForwardingConfig newer, ConfirmedConfig before) {
        return new ConfirmedConfig(newer, before == null ? Freshness.NEVER_MS : before.confirmedAtMs);
    }

    /** The same configuration, confirmed by a read that was sent at {@code askedAtMs}. */
    ConfirmedConfig confirmed(long askedAtMs) {
        return new ConfirmedConfig(config, Math.max(confirmedAtMs, askedAtMs));
    }
}
