package org.onyxhinge.router.forward;

import java.util.List;
import java.util.Optional;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import org.jboss.logging.Logger;
import org.onyxhinge.core.text.LogText;
import org.onyxhinge.wire.MonotonicClock;
import org.onyxhinge.wire.kv.KvMessage;

/**
 * Records that routers share through the key-value service for recovery when all of them restart at once: the
 * workspaces' usage and what is quarantined. The public methods may be called from any thread.
 */
public final class RecoveryRecords {

    private static final Logger LOG = Logger.getLogger(RecoveryRecords.class);

    /**
     * Time within which the primary writer, the live router with the lowest id, records a quarantine if it reaches the
     * store. After that any router may write it.
     */
    private static final long PRIMARY_WRITE_TIMEOUT_MS = 1_500;

    /** How often the usage is recorded: usage between two writes must be assumed to be the maximum. */
    public static final long USAGE_WRITE_INTERVAL_MS = 500;

    /** A router that starts within this time after a quarantine may not know of it until another router reports it. */
    public static final long QUARANTINE_CHECK_INTERVAL_MS = 250;

    private final Context context;
    private final WorkspaceQuotas quotas;
    private final CrashQuarantine crashQuarantine;
    private final RouterPeers peers;
    private QuarantineRecord storedQuarantine = new QuarantineRecord(List.of());
    private long storedVersion;
    /** True after a restore of the store until the quarantine record is seen: a missing one may have been lost. */
    private boolean quarantineMayBeLost;

    private long outdatedSinceMs = -1;
    /** When the last two store reads were complete; a read is sent after the one before it is complete. */
    private long lastReadAtMs = -1;

    private long previousReadAtMs = -1;

    RecoveryRecords(Context context, WorkspaceQuotas quotas, CrashQuarantine crashQuarantine, RouterPeers peers) {
        this.context = context;
        this.quotas = quotas;
        this.crashQuarantine = crashQuarantine;
        this.peers = peers;
    }

    /**
     * The usage record, if it is to be written now. Only the primary writer, the live router with the lowest id, writes
     * it, so the cost does not depend on the fleet's size. Without it, routers that all restart at once assume that
     * nine tenths of each limit are used, and refuse workspaces within their limits for the first seconds.
     */
    public Future<List<RecordWrite>> usageWrites(String key) {
        Promise<List<RecordWrite>> out = Promise.promise();
        context.runOnContext(v -> out.complete(Optional.of(quotas.usedInWindow(MonotonicClock.nowMs()))
                .filter(units -> !units.isEmpty() && peers.hasLowestLiveId())
                .map(units -> new UsageRecord(System.currentTimeMillis(), units).encode())
                .map(bytes -> new RecordWrite(key, bytes, KvMessage.ANY, version -> {}))
                .stream()
                .toList()));
        return out.future();
    }

    /** Applies the usage record as read from the store. */
    public void restoreUsage(byte[] bytes) {
        context.runOnContext(v -> {
            if (quotas.needsRecord()) {
                UsageRecord.decode(bytes)
                        .peek(quotas::restore)
                        .peekLeft(e -> LOG.errorf("usage record unreadable error=%s", LogText.of(e)));
            }
        });
    }

    /**
     * The quarantine record, if the stored one lacks a crash, or blames what has been cleared, and this router is the
     * one to write it.
     */
    public Future<List<RecordWrite>> quarantineWrites(String key) {
        Promise<List<RecordWrite>> out = Promise.promise();
        context.runOnContext(v -> out.complete(
                quarantineWrite(key, MonotonicClock.nowMs()).stream().toList()));
        return out.future();
    }

    private Optional<RecordWrite> quarantineWrite(String key, long nowMs) {
        QuarantineRecord current = crashQuarantine.currentRecord();
        if (storedQuarantine.covers(current) && !crashQuarantine.refutes(storedQuarantine)) {
            outdatedSinceMs = -1;
            return Optional.empty();
        }
        outdatedSinceMs = outdatedSinceMs < 0 ? nowMs : outdatedSinceMs;
        // Another router writes only after a read that would show the record of the primary writer. Otherwise it could
        // write the record once more after an operator has removed it.
        boolean writer = peers.hasLowestLiveId()
                || nowMs - outdatedSinceMs > PRIMARY_WRITE_TIMEOUT_MS
                        && previousReadAtMs > outdatedSinceMs + PRIMARY_WRITE_TIMEOUT_MS / 2;
        return writer
                ? Optional.of(new RecordWrite(
                        key, current.encode(), storedVersion, version -> quarantineWritten(current, version)))
                : Optional.empty();
    }

    /**
     * Remembers a record as soon as it is written: if it is removed before this router has read it back, writing it
     * once more as a new one would undo the removal.
     */
    private void quarantineWritten(QuarantineRecord written, long version) {
        LOG.infof("quarantine recorded revision=%d", version);
        context.runOnContext(v -> {
            quarantineMayBeLost = false;
            if (version > storedVersion) {
                storedVersion = version;
                storedQuarantine = written;
            }
        });
    }

    /** Records that a complete read of the store has been processed. */
    public void storeRead() {
        context.runOnContext(v -> {
            previousReadAtMs = lastReadAtMs;
            lastReadAtMs = MonotonicClock.nowMs();
        });
    }

    /** Applies the quarantine record as read from the store. */
    public void restoreQuarantine(byte[] bytes, long version) {
        context.runOnContext(v -> {
            if (version < storedVersion) {
                return;
            }
            quarantineMayBeLost = false;
            storedVersion = version;
            QuarantineRecord.decode(bytes)
                    .peek(r -> {
                        storedQuarantine = r;
                        crashQuarantine.restore(r);
                    })
                    .peekLeft(e -> {
                        LOG.errorf("quarantine record unreadable revision=%d error=%s", version, LogText.of(e));
                        storedQuarantine = new QuarantineRecord(List.of());
                    });
        });
    }

    /** Forgets what the store held, because it was restored from a copy; what it lacks is written again. */
    void storeRestored() {
        context.runOnContext(v -> {
            quarantineMayBeLost = true;
            storedVersion = 0;
            storedQuarantine = new QuarantineRecord(List.of());
        });
    }

    /** Lifts every quarantine, because an operator has removed the record. */
    public void liftQuarantine() {
        context.runOnContext(v -> {
            if (quarantineMayBeLost) {
                LOG.infof("quarantine kept why=\"record missing after a restore of the store\"");
                return;
            }
            storedVersion = 0;
            storedQuarantine = new QuarantineRecord(List.of());
            crashQuarantine.lift();
        });
    }
}
