package org.onyxhinge.router.forward;

import java.util.Locale;

import org.jboss.logging.Logger;

/**
 * Up to when the list of targets is known to be that of the registry, and by which way. Written on the
 * event loop, behind the changes that were read with it; readable from any thread.
 */
public final class TargetListProof {

    private static final Logger LOG = Logger.getLogger(TargetListProof.class);

    private final ConfigFreshness freshness;
    private final AwaitedProof awaited;
    private volatile Proof latest = new Proof(ConfigFreshness.NEVER_CONFIRMED_MS, Way.NONE);

    /** How the list is read. */
    public enum Way {
        /** Not at all: it is not read from a registry, or has not been read yet. */
        NONE,
        /** By the watch of all keys. */
        WATCH,
        /** By a read of the registrations alone. */
        READ,
        /** By another router. */
        RELAYED
    }

    /**
     * A proof.
     *
     * @param atMs up to when, by the suspend-aware clock
     * @param way how it came
     */
    private record Proof(long atMs, Way way) {}

    TargetListProof(ConfigFreshness freshness, AwaitedProof awaited) {
        this.freshness = freshness;
        this.awaited = awaited;
    }

    /** Records that the list is complete up to a time. */
    void proved(long atMs, Way way) {
        if (way != latest.way()) {
            LOG.infof("targets read by=%s before=%s ageMs=%d", text(way), text(latest.way()), ageMs());
        }
        latest = new Proof(Math.max(latest.atMs(), atMs), way);
        if (isCurrent()) {
            awaited.proved();
        }
    }

    /** Time since the list was proved; -1 if it never was. */
    long ageMs() {
        return freshness.ageMs(latest.atMs());
    }

    /** The way of the last proof, for logs. */
    String way() {
        return text(latest.way());
    }

    private static String text(Way way) {
        return way.name().toLowerCase(Locale.ROOT);
    }

    /** Whether it shows each target that has left so long ago that no call may reach it any more. */
    private boolean isCurrent() {
        return freshness.isTargetListCurrent(latest.atMs());
    }

    /**
     * Runs an action once the list shows which targets no call may reach any more, at once if it does; or once nothing
     * can tell. Called on the event loop.
     */
    void whenCurrent(Runnable action) {
        if (isCurrent() || !awaited.await(action)) {
            action.run();
        }
    }

    /** What waits for a newer list. */
    AwaitedProof awaited() {
        return awaited;
    }
}
