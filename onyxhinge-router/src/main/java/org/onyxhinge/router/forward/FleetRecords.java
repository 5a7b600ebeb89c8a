package org.onyxhinge.router.forward;

import java.util.List;
import java.util.Optional;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import org.jboss.logging.Logger;
import org.onyxhinge.wire.MonotonicClock;

/**
 * What routers keep in the key-value service beside their registrations, for routers that all start again at once: what
 * workspaces have used, and which requests are quarantined. The public methods may be called from any thread.
 */
public final class FleetRecords {

    private static final Logger LOG = Logger.getLogger(FleetRecords.class);

    /** Within this the router whose id comes first has recorded a quarantine, if it reaches the service. */
    private static final long FIRST_WRITES_WITHIN_MS = 1_500;

    private final Context context;
    private final WorkspaceQuotas quotas;
    private final CrashingRequests crashing;
    private final RouterPeers peers;
    private QuarantineRecord recorded = new QuarantineRecord(List.of());
    private long recordedVersion;
    private long missingSinceMs = -1;

    FleetRecords(Context context, WorkspaceQuotas quotas, CrashingRequests crashing, RouterPeers peers) {
        this.context = context;
        this.quotas = quotas;
        this.crashing = crashing;
        this.peers = peers;
    }

    /**
     * A record to be written.
     *
     * @param bytes the record
     * @param replaces version of the record that it takes the place of; 0 for none
     */
    public record Change(byte[] bytes, long replaces) {}

    /**
     * What workspaces have used, for the record; empty where another router is to write it, or nothing was counted. A
     * record is written by the router whose id comes first among those that hear each other.
     */
    public Future<Optional<byte[]>> usageToRecord() {
        Promise<Optional<byte[]>> out = Promise.promise();
        context.runOnContext(v -> out.complete(Optional.of(quotas.usedInWindow(MonotonicClock.nowMs()))
                .filter(units -> !units.isEmpty() && peers.comesFirst())
                .map(units -> new UsageRecord(System.currentTimeMillis(), units).encode())));
        return out.future();
    }

    /** Takes the record of workspaces' use in, as it was read from the store. */
    public void usageRecorded(byte[] bytes) {
        context.runOnContext(v -> {
            if (quotas.wantsRecord()) {
                UsageRecord.decode(bytes)
                        .peek(quotas::recorded)
                        .peekLeft(e -> LOG.errorf("usage record unreadable error=%s", e));
            }
        });
    }

    /** The record of quarantined requests, where what is kept lacks a crash and this router is to write it. */
    public Future<Optional<Change>> quarantineToRecord() {
        Promise<Optional<Change>> out = Promise.promise();
        context.runOnContext(v -> out.complete(quarantineChange(MonotonicClock.nowMs())));
        return out.future();
    }

    private Optional<Change> quarantineChange(long nowMs) {
        QuarantineRecord now = crashing.toRecord();
        if (recorded.covers(now)) {
            missingSinceMs = -1;
            return Optional.empty();
        }
        missingSinceMs = missingSinceMs < 0 ? nowMs : missingSinceMs;
        boolean ours = peers.comesFirst() || nowMs - missingSinceMs > FIRST_WRITES_WITHIN_MS;
        return ours ? Optional.of(new Change(now.encode(), recordedVersion)) : Optional.empty();
    }

    /** Takes the record of quarantined requests in, as it was read from the store. */
    public void quarantineRecorded(byte[] bytes, long version) {
        context.runOnContext(v -> {
            recordedVersion = version;
            QuarantineRecord.decode(bytes)
                    .peek(r -> {
                        recorded = r;
                        crashing.recorded(r);
                    })
                    .peekLeft(e -> LOG.errorf("quarantine record unreadable error=%s", e));
        });
    }

    /** Lifts every quarantine: an operator has removed the record. */
    public void quarantineRemoved() {
        context.runOnContext(v -> {
            recordedVersion = 0;
            recorded = new QuarantineRecord(List.of());
            crashing.lift();
        });
    }
}
