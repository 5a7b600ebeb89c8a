package org.onyxhinge.router.forward;

import java.util.Optional;

import org.jboss.logging.Logger;
import org.onyxhinge.core.route.ForwardingConfig;

/**
 * The active configuration, which calls are checked against, and whether its API keys may still be trusted. Replaced by
 * the thread that reads the store; readable from any thread.
 */
final class ActiveConfig {

    private static final Logger LOG = Logger.getLogger(ActiveConfig.class);

    private final ConfigFreshness freshness;
    /** Null until the first configuration arrives; always replaced as one value. */
    private volatile ConfirmedConfig current;

    private boolean keysTrustedBefore;

    ActiveConfig(ConfigFreshness freshness) {
        this.freshness = freshness;
    }

    /** Activates a newer configuration. */
    synchronized void replace(ForwardingConfig newer) {
        LOG.infof(
                "config in force version=%d before=%d routes=%d",
                newer.version(), version(), newer.routes().size());
        current = ConfirmedConfig.of(newer, current);
    }

    /**
     * Records that a store read sent at {@code askedAtMs} confirmed the configuration; no effect before the first one.
     */
    synchronized void confirmed(long askedAtMs) {
        if (current != null) {
            current = current.confirmed(askedAtMs);
        }
    }

    /** The configuration with its confirmation time; empty before the first one. */
    Optional<ConfirmedConfig> current() {
        return Optional.ofNullable(current);
    }

    /** Version of the configuration; -1 before the first one. */
    long version() {
        return current().map(c -> c.config().version()).orElse(-1L);
    }

    /** Age of the last confirmation in ms; -1 before the first one. */
    long confirmationAgeMs() {
        return current().map(c -> freshness.ageMs(c.confirmedAtMs())).orElse(-1L);
    }

    /** True while calls with API keys can be served. */
    boolean keysTrusted() {
        return current().map(c -> freshness.isFresh(c.confirmedAtMs())).orElse(false);
    }

    /** Logs changes of {@link #keysTrusted}. Must always be called from the same thread. */
    void logKeyTrust() {
        boolean now = keysTrusted();
        if (now != keysTrustedBefore) {
            keysTrustedBefore = now;
            LOG.infof("API keys %s proofAgeMs=%d", now ? "believed" : "no longer believed", confirmationAgeMs());
        }
    }
}
