package org.onyxhinge.router.forward;

import java.util.Optional;

import org.jboss.logging.Logger;
import org.onyxhinge.core.route.ForwardingConfig;

/**
 * The configuration that calls are checked by, and whether its API keys are believed. The thread that reads the store
 * replaces it; any thread may read it.
 */
final class ConfigInForce {

    private static final Logger LOG = Logger.getLogger(ConfigInForce.class);

    private final Freshness freshness;
    /** Null before the first; replaced as a whole. */
    private volatile ConfirmedConfig current;

    private boolean keysBelievedBefore;

    ConfigInForce(Freshness freshness) {
        this.freshness = freshness;
    }

    /** Puts a newer configuration in force. */
    synchronized void replace(ForwardingConfig newer) {
        LOG.infof(
                "config in force version=%d before=%d routes=%d",
                newer.version(), version(), newer.routes().size());
        current = ConfirmedConfig.of(newer, current);
    }

    /** Notes that a read of the store sent at {@code askedAtMs} confirmed it; without effect before the first. */
    synchronized void confirmed(long askedAtMs) {
        if (current != null) {
            current = current.confirmed(askedAtMs);
        }
    }

    /** It, with its confirmation; empty before the first. */
    Optional<ConfirmedConfig> current() {
        return Optional.ofNullable(current);
    }

    /** Its version; -1 before the first. */
    long version() {
        return current().map(c -> c.config().version()).orElse(-1L);
    }

    /** Age of its confirmation; -1 before the first. */
    long proofAgeMs() {
        return current().map(c -> freshness.ageMs(c.confirmedAtMs())).orElse(-1L);
    }

    /** True while calls with API keys can be served. */
    boolean keysBelieved() {
        return current().map(c -> freshness.holds(c.confirmedAtMs())).orElse(false);
    }

    /** Logs when API keys are no longer believed, and when they are again. To be called by one thread. */
    void logKeysBelieved() {
        boolean now = keysBelieved();
        if (now != keysBelievedBefore) {
            keysBelievedBefore = now;
            LOG.infof("API keys %s proofAgeMs=%d", now ? "believed" : "no longer believed", proofAgeMs());
        }
    }
}
