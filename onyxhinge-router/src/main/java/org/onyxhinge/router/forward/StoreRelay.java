package org.onyxhinge.router.forward;

import java.util.function.Consumer;

import org.onyxhinge.wire.kv.KvChanges;
import org.onyxhinge.wire.kv.KvMirror;

/**
 * This router's copy of the store, as other routers use it while the store does not answer them in time. The methods
 * may be called on any thread; what they do is done on the thread that reads the store.
 */
public interface StoreRelay {

    /** Stands for the time of a proof that there is not. */
    long UNPROVED_MS = Long.MIN_VALUE;

    /**
     * Passes on what has changed since a revision; nothing is passed on if that is not known.
     *
     * @param then called on the thread that reads the store
     */
    void changesSince(long revision, Consumer<KvChanges> then);

    /**
     * Takes what another router has passed on.
     *
     * @param configProvedAtMs up to when its configuration was the newest, by the clock that stamps this router's own
     *     reads; {@link #UNPROVED_MS} if that is not known
     * @param targetsProvedAtMs the same of its list of targets
     */
    void relayed(KvChanges changes, long configProvedAtMs, long targetsProvedAtMs);

    /** How the copy stands. */
    KvMirror.State state();
}
