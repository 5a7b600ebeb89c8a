package org.onyxhinge.router;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.onyxhinge.core.schedule.SchedulerSnapshot;

/** Converts the scheduler's snapshot to JSON for the state dump. */
final class SnapshotJson {

    private SnapshotJson() {}

    static JsonObject of(SchedulerSnapshot s, long nowMs) {
        JsonArray engines = new JsonArray();
        for (SchedulerSnapshot.Engine e : s.engines()) {
            engines.add(new JsonObject()
                    .put("engineId", e.engineId())
                    .put("pool", e.pool())
                    .put("ownInFlight", e.ownInFlight())
                    .put("othersInFlight", e.othersInFlight())
                    .put("draining", e.draining())
                    .put("slowness", e.slowness())
                    .put("silentMs", nowMs - e.lastSeenAtMs()));
        }
        JsonObject queued = new JsonObject();
        s.queuedByPool().forEach(queued::put);
        JsonObject inFlight = new JsonObject();
        s.inFlightByWorkspace().forEach(inFlight::put);
        return new JsonObject()
                .put("engines", engines)
                .put("queuedByPool", queued)
                .put("inFlightByWorkspace", inFlight);
    }
}
