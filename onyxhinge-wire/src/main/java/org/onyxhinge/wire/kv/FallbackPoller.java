package org.onyxhinge.wire.kv;

import java.util.concurrent.ThreadLocalRandom;
import java.util.function.LongPredicate;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import org.jboss.logging.Logger;
import org.onyxhinge.wire.Loop;

/**
 * Polls a part of a mirror while its watch is late, so that the part stays confirmed. Runs on the mirror's
 * context; {@link #want} may be called from any thread.
 */
public final class FallbackPoller {

    private static final Logger LOG = Logger.getLogger(FallbackPoller.class);
    private static final long CHECK_INTERVAL_MS = 50;

    private final Context context;
    private final Part part;
    private final ReadSchedule schedule;
    private final LongSupplier clockMs;
    private final Listener listener;
    private final Loop loop;

    /**
     * The part of the mirror.
     *
     * @param name name for the log
     * @param read reads it, by a client of its own, so that no call of another kind delays the reads
     * @param apply applies the reply; returns whether the mirror is now as new
     * @param mirror how the mirror stands
     * @param advancing whether a poll that takes long has got a part of its reply within the last ms
     */
    public record Part(
            String name,
            Supplier<Future<KvMessage.Reply>> read,
            Predicate<KvMessage.Reply> apply,
            Supplier<KvMirror.State> mirror,
            LongPredicate advancing) {

        /** One key of a mirror. */
        public static Part ofKey(KvStore kv, KvMirror mirror, String key) {
            return new Part(key, () -> kv.get(key), reply -> mirror.applyKey(key, reply), mirror::state, ms -> false);
        }

        /** All keys of a mirror that begin with a prefix. */
        public static Part ofRange(KvStore kv, KvMirror mirror, String prefix) {
            return new Part(
                    prefix,
                    () -> kv.range(prefix),
                    reply -> mirror.applyRange(prefix, reply),
                    mirror::state,
                    kv::isReadingPages);
        }
    }

    /** Receives the outcome of each read. */
    public interface Listener {

        /** A read sent at {@code sentAtMs} has shown that the mirror's part is the newest; it has been reported. */
        void confirmed(long sentAtMs);

        /** A read has failed, or its reply could not be applied. */
        void failed();
    }

    private FallbackPoller(Context context, Part part, ReadSchedule schedule, LongSupplier clockMs, Listener listener) {
        this.context = context;
        this.part = part;
        this.schedule = schedule;
        this.clockMs = clockMs;
        this.listener = listener;
        this.loop = Loop.named("reads of " + part.name());
    }

    /** Starts reading when the schedule says so; must be called on the mirror's context. */
    public static FallbackPoller start(
            Vertx vertx, Part part, ReadSchedule schedule, LongSupplier clockMs, Listener listener) {
        Context context = vertx.getOrCreateContext();
        FallbackPoller reader = new FallbackPoller(context, part, schedule, clockMs, listener);
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
        // Another poll would take as long, and delay the one before.
        if (!schedule.isDue(sentAtMs) || part.advancing().test(ReadSchedule.UNANSWERED_MS)) {
            return;
        }
        schedule.sent(sentAtMs);
        boolean sent = loop.turn(() -> part.read()
                .get()
                .onSuccess(r -> answered(r, sentAtMs))
                .onFailure(e -> failed(sentAtMs, e.getMessage())));
        if (!sent) {
            failed(sentAtMs, "not sent");
        }
    }

    private void answered(KvMessage.Reply reply, long sentAtMs) {
        boolean[] applied = {false};
        loop.turn(() -> applied[0] = part.apply().test(reply));
        if (!applied[0]) {
            failed(sentAtMs, "reply not applied, mirror: " + part.mirror().get());
            return;
        }
        LOG.infof(
                "fallback poll part=%s revision=%d tookMs=%d",
                part.name(), KvRevision.withinEpoch(reply.revision()), clockMs.getAsLong() - sentAtMs);
        schedule.succeeded(sentAtMs);
        loop.turn(() -> listener.confirmed(sentAtMs));
    }

    private void failed(long sentAtMs, String error) {
        long nowMs = clockMs.getAsLong();
        LOG.infof("fallback poll failed part=%s tookMs=%d error=%s", part.name(), nowMs - sentAtMs, error);
        schedule.failed(nowMs, ThreadLocalRandom.current().nextDouble());
        loop.turn(listener::failed);
    }
}
