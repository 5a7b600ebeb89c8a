package org.onyxhinge.wire.kv;

import java.util.concurrent.ThreadLocalRandom;
import java.util.function.LongSupplier;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import org.jboss.logging.Logger;
import org.onyxhinge.wire.Loop;

/**
 * Keeps one key of a mirror confirmed while its watch is late, by reads of that key alone. Runs on the mirror's
 * context; {@link #want} may be called from any thread.
 */
public final class KeyReader {

    private static final Logger LOG = Logger.getLogger(KeyReader.class);
    private static final long CHECK_INTERVAL_MS = 50;

    private final Context context;
    private final KvStore kv;
    private final KvMirror mirror;
    private final String key;
    private final KeyReadSchedule schedule;
    private final LongSupplier clockMs;
    private final Listener listener;
    private final Loop loop;

    /** Receives the outcome of each read. */
    public interface Listener {

        /** A read sent at {@code sentAtMs} has shown that the mirror's entry is the newest; it has been reported. */
        void keyConfirmed(long sentAtMs);

        /** A read has failed, or the mirror's entry is not what it has shown. */
        void keyUnconfirmed();
    }

    private KeyReader(
            Context context,
            KvStore kv,
            KvMirror mirror,
            String key,
            KeyReadSchedule schedule,
            LongSupplier clockMs,
            Listener listener) {
        this.context = context;
        this.kv = kv;
        this.mirror = mirror;
        this.key = key;
        this.schedule = schedule;
        this.clockMs = clockMs;
        this.listener = listener;
        this.loop = Loop.named("reads of " + key);
    }

    /**
     * Starts reading when the schedule says so; must be called on the mirror's context.
     *
     * @param kv the client to read with; one of its own, so that no call of another kind delays the reads
     */
    public static KeyReader start(
            Vertx vertx,
            KvStore kv,
            KvMirror mirror,
            String key,
            KeyReadSchedule schedule,
            LongSupplier clockMs,
            Listener listener) {
        Context context = vertx.getOrCreateContext();
        KeyReader reader = new KeyReader(context, kv, mirror, key, schedule, clockMs, listener);
        vertx.setPeriodic(CHECK_INTERVAL_MS, t -> reader.readIfDue());
        return reader;
    }

    /** Asks for a newer confirmation. */
    public void want() {
        context.runOnContext(v -> {
            schedule.want();
            readIfDue();
        });
    }

    private void readIfDue() {
        long sentAtMs = clockMs.getAsLong();
        if (!schedule.isDue(sentAtMs)) {
            return;
        }
        schedule.sent();
        boolean sent = loop.turn(() ->
                kv.get(key).onSuccess(r -> answered(r, sentAtMs)).onFailure(e -> failed(sentAtMs, e.getMessage())));
        if (!sent) {
            failed(sentAtMs, "not sent");
        }
    }

    private void answered(KvMessage.Reply reply, long sentAtMs) {
        boolean[] taken = {false};
        loop.turn(() -> taken[0] = mirror.take(key, reply));
        if (!taken[0]) {
            failed(sentAtMs, "not the entry that the mirror goes on from");
            return;
        }
        LOG.infof(
                "key read apart from the watch key=%s revision=%d tookMs=%d",
                key, KvRevision.withinEpoch(reply.revision()), clockMs.getAsLong() - sentAtMs);
        schedule.succeeded(sentAtMs);
        loop.turn(() -> listener.keyConfirmed(sentAtMs));
    }

    private void failed(long sentAtMs, String error) {
        long nowMs = clockMs.getAsLong();
        LOG.infof("key not read key=%s tookMs=%d error=%s", key, nowMs - sentAtMs, error);
        schedule.failed(nowMs, ThreadLocalRandom.current().nextDouble());
        loop.turn(listener::keyUnconfirmed);
    }
}
