package org.onyxhinge.router.forward;

import java.util.Optional;

import org.jboss.logging.Logger;
import org.onyxhinge.core.route.ForwardingConfig;
import org.onyxhinge.wire.kv.KvMirror;

/**
 * The active configuration, which calls are checked against, and whether its API keys may still be trusted. Replaced by
 * the thread that reads the store; readable from any thread.
 */
final class ActiveConfig {

    private static final Logger LOG = Logger.getLogger(ActiveConfig.class);

    private final ConfigFreshness freshness;
    /** Null until the first configuration arrives; always replaced as one value. */
    private volatile ConfirmedConfig current;

    /** Reads sent before this time confirm nothing. */
    private long confirmableFromMs = Long.MIN_VALUE;

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
     * Records that the store was restored from a copy. What it holds may be older than what it acknowledged, so it
     * confirms no configuration until the lost ones had time to be written again.
     */
    synchronized void storeRestored() {
        confirmableFromMs = freshness.stampMs() + KvMirror.REWRITE_MS;
        LOG.infof("store restored version=%d confirmedAgainInMs=%d", version(), KvMirror.REWRITE_MS);
    }

    /**
     * Records that a store read sent at {@code askedAtMs} confirmed the configuration.
     *
     * @return false, without effect, before the first configuration and shortly after the store was restored
     */
    synchronized boolean confirmed(long askedAtMs) {
        if (current == null || askedAtMs < confirmableFromMs) {
            return false;
        }
        current = current.confirmed(askedAtMs);
        return true;
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
