package org.onyxhinge.router.forward;

import org.onyxhinge.core.route.ForwardingConfig;

/**
 * A configuration and the time at which the store last confirmed that it is the newest. Kept as one value, so that a
 * call is never checked against one configuration under the confirmation of another.
 *
 * @param config the configuration
 * @param confirmedAtMs when the confirming read was sent, by the suspend-aware clock; {@code NEVER_CONFIRMED_MS}
 *     before the first confirmation
 */
record ConfirmedConfig(ForwardingConfig config, long confirmedAtMs) {

    /** Wraps a newer configuration; it keeps the confirmation time of {@code before} until it is confirmed itself. */
    static ConfirmedConfig of(ForwardingConfig newer, ConfirmedConfig before) {
        return new ConfirmedConfig(newer, before == null ? ConfigFreshness.NEVER_CONFIRMED_MS : before.confirmedAtMs);
    }

    /** The same configuration, confirmed by a read that was sent at {@code askedAtMs}. */
    ConfirmedConfig confirmed(long askedAtMs) {
        return new ConfirmedConfig(config, Math.max(confirmedAtMs, askedAtMs));
    }
}
