package org.onyxhinge.router.forward;

import java.util.HashMap;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.onyxhinge.core.limit.RepeatLimits;
import org.onyxhinge.core.place.Placement;
import org.onyxhinge.wire.MonotonicClock;
import org.onyxhinge.wire.kv.KvMirror;

/** The state of a forwarder as JSON, for operators. */
final class StateDump {

    private StateDump() {}

    /** Writes the current state; called on the forwarder's event loop. */
    static JsonObject of(Forwarder f) {
        Placement placement = f.placement();
        return new JsonObject()
                .put("router", f.routerId())
                .put("configVersion", f.config().version())
                .put("proofAgeMs", f.config().confirmationAgeMs())
                .put("draining", f.shutdown().started())
                .put("exchanges", f.calls().exchangeCount())
                .put("attempts", f.calls().attemptCount())
                .put("notBegun", f.startScheduler().queuedCount())
                .put("waiting", new JsonObject(new HashMap<>(placement.waitingByService())))
                .put("workspaceUseMs", workspaceUse(placement))
                .put("shortCalls", shortCalls(placement))
                .put("targetListAgeMs", f.targets().listProof().ageMs())
                .put("targetListBy", f.targets().listProof().way())
                .put("store", store(f.relayedProofs().storeState()))
                .put("callsAwaitingConfig", f.awaitingConfig().confirmation().waitingCount())
                .put("callsAwaitingTargets", f.targets().listProof().awaited().waitingCount())
                .put("targets", placement.targets().size())
                .put("targetConnections", f.connections().openCount())
                .put("targetConnectionsOpened", f.connections().opened())
                .put(
                        "surplusTargets",
                        new JsonObject(new HashMap<>(f.connections().surplusTargets())))
                .put("usageRecordAgeMs", f.quotas().recordAgeMs())
                .put("quarantined", new JsonObject(f.crashQuarantine().bySuspect()))
                .put("targetLimits", placement.limits().size())
                .put("refusedRequests", f.retryRecognition().size())
                .put("streamOrigins", f.streamOrigins().size())
                .put("repeatRecords", f.repeats().map(RepeatLimits::size).orElse(0))
                .put("readers", f.readers().dump())
                .put("callerConnections", f.callerServer().dump())
                .put("bodyBytes", f.bodyMemory().reservedBytes())
                .put("promisedRetries", promisedRetries(placement))
                .put("rollouts", f.rollouts().dump(MonotonicClock.nowMs()))
                .put("routersKnown", f.peers().expectedRouters())
                .put("routersHeardPart", f.peers().heardPart());
    }

    private static JsonObject store(KvMirror.State state) {
        return new JsonObject()
                .put("loaded", state.loaded())
                .put("epoch", state.epoch())
                .put("pendingUpdates", state.pending())
                .put("oldestPendingMs", state.oldestPendingMs())
                .put("pendingKeys", new JsonArray(state.pendingKeys()));
    }

    private static JsonObject workspaceUse(Placement placement) {
        JsonObject out = new JsonObject();
        placement.workspaceUse(MonotonicClock.nowMs()).forEach((service, uses) -> {
            JsonObject byWorkspace = new JsonObject();
            uses.forEach(u -> byWorkspace.put(u.workspace() + " rank " + u.rank(), u.usedMs()));
            out.put(service, byWorkspace);
        });
        return out;
    }

    /** Promised retries that are still to come, by service, and what other routers have told callers. */
    private static JsonObject promisedRetries(Placement placement) {
        long nowMs = MonotonicClock.nowMs();
        JsonObject out = new JsonObject();
        placement.retryLedger().ifPresent(l -> {
            out.put("own", new JsonObject(new HashMap<>(l.ownPromises(nowMs))));
            out.put("peers", l.peerPromises(nowMs));
        });
        return out;
    }

    private static JsonObject shortCalls(Placement placement) {
        JsonObject out = new JsonObject();
        placement
                .shortCallStates(MonotonicClock.nowMs())
                .forEach((service, s) -> out.put(
                        service,
                        new JsonObject()
                                .put("promotedCalls", s.promotedCalls())
                                .put("heldBackCalls", s.heldBackCalls())
                                .put("promotedSlotPercent", s.promotedSlotPercent())));
        return out;
    }
}
