package org.onyxhinge.router.forward;

import java.security.SecureRandom;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Supplier;

import io.vertx.core.Context;
import org.jboss.logging.Logger;
import org.onyxhinge.core.collect.BoundedMap;
import org.onyxhinge.wire.kv.KvChanges;
import org.onyxhinge.wire.kv.KvMirror;
import org.onyxhinge.wire.peer.PeerMessage;

/**
 * Lets routers tell each other what they have read from the store, for the ones that it does not answer. A proof
 * travels with its age and counts from when it was asked for, so clocks are never compared, and one that is passed on
 * several times gets older each time. Confined to the event loop of the forwarder, except where it is noted.
 */
final class RelayedProofs {

    private static final Logger LOG = Logger.getLogger(RelayedProofs.class);

    /** Queries that may still be answered. */
    private static final int MAX_ASKED = 64;

    /** Changes beyond this do not fit into one message; the asking router has to read them from the store. */
    private static final long MAX_BYTES = 900_000;

    private final Context context;
    private final String routerId;
    private final Supplier<RouterPeers> peers;
    private final ConfigFreshness freshness;
    private final ActiveConfig config;
    private final TargetListProof targetList;
    private final ForwardingMetrics metrics;
    private final SecureRandom ids = new SecureRandom();
    private final Map<Long, Long> askedAtMs = BoundedMap.dropOldest(MAX_ASKED);
    private StoreRelay relay;

    RelayedProofs(
            Context context,
            String routerId,
            Supplier<RouterPeers> peers,
            ConfigFreshness freshness,
            ActiveConfig config,
            TargetListProof targetList,
            ForwardingMetrics metrics) {
        this.context = context;
        this.routerId = routerId;
        this.peers = peers;
        this.freshness = freshness;
        this.config = config;
        this.targetList = targetList;
        this.metrics = metrics;
    }

    /** Sets this router's copy of the store; may be called on any thread. */
    void relayBy(StoreRelay newRelay) {
        context.runOnContext(v -> relay = newRelay);
    }

    /** How this router's copy of the store stands. */
    KvMirror.State storeState() {
        return relay == null ? KvMirror.State.EMPTY : relay.state();
    }

    /**
     * Asks another router, each time one chosen at random, since some may be in the same trouble; may be called on any
     * thread.
     *
     * @param revision up to which this router has all changes
     */
    void ask(long revision) {
        context.runOnContext(v -> {
            List<String> connected = peers.get().connectedIds();
            if (!connected.isEmpty()) {
                String asked = connected.get(ThreadLocalRandom.current().nextInt(connected.size()));
                // Not to be guessed: what replies to it is taken for contents of the store.
                long askId = ids.nextLong();
                askedAtMs.put(askId, freshness.stampMs());
                peers.get().sendBestEffort(asked, new PeerMessage.StoreQuery(routerId, askId, revision));
                metrics.event("proofs.asked");
            }
        });
    }

    /** Answers another router. */
    void receive(PeerMessage.StoreQuery query) {
        if (relay != null) {
            relay.changesSince(query.revision(), changes -> reply(query, changes));
        }
    }

    private void reply(PeerMessage.StoreQuery query, KvChanges changes) {
        if (bytes(changes) > MAX_BYTES) {
            LOG.infof("changes not passed on router=%s why=\"too long\"", query.routerId());
            return;
        }
        PeerMessage.StoreReply reply =
                new PeerMessage.StoreReply(query.askId(), config.confirmationAgeMs(), targetList.ageMs(), changes);
        context.runOnContext(v -> peers.get().sendBestEffort(query.routerId(), reply));
    }

    private static long bytes(KvChanges changes) {
        return changes.entries().stream()
                        .mapToLong(e -> e.key().length() + e.value().length)
                        .sum()
                + changes.deleted().keySet().stream().mapToLong(String::length).sum();
    }

    /** Takes the answer of another router. */
    void receive(PeerMessage.StoreReply reply) {
        Long askedMs = askedAtMs.remove(reply.askId());
        if (askedMs != null && relay != null) {
            metrics.event("proofs.relayed");
            relay.relayed(
                    reply.changes(),
                    provedAtMs(askedMs, reply.configAgeMs()),
                    provedAtMs(askedMs, reply.targetsAgeMs()));
        }
    }

    private static long provedAtMs(long askedMs, long ageMs) {
        return ageMs < 0 ? StoreRelay.UNPROVED_MS : askedMs - ageMs;
    }
}
