package org.onyxhinge.router.forward;

import java.net.ConnectException;
import java.net.SocketException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.IntStream;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.onyxhinge.core.place.Placement;
import org.onyxhinge.core.place.Target;
import org.onyxhinge.core.place.TargetState;
import org.onyxhinge.core.quarantine.Crash;
import org.onyxhinge.core.quarantine.Fingerprint;
import org.onyxhinge.core.quarantine.Quarantine;
import org.onyxhinge.core.quarantine.Suspects;
import org.onyxhinge.runtime.Launch;
import org.onyxhinge.wire.MonotonicClock;
import org.onyxhinge.wire.peer.PeerMessage;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/** Whether a target has terminated, found out by connecting to its address. */
class CrashQuarantineTest {

    private static final long TIMEOUT_MS = 5_000;
    /** Longer than all probes of a target take. */
    private static final long PROBES_MS = 1_000;

    private static final Throwable REFUSED = new ConnectException("Connection refused");
    /** What a process that closes its listening socket does to a connection that it has not accepted yet. */
    private static final Throwable RESET = new SocketException("Connection reset");

    private final Vertx vertx = Vertx.vertx();
    private final Context context = vertx.getOrCreateContext();
    private final Deque<Future<Void>> connects = new ArrayDeque<>();
    private final List<PeerMessage.RouterToRouter> reports = new CopyOnWriteArrayList<>();
    private final Suspects request = Suspects.of(Fingerprint.ofPromptPart("request"), List.of());
    private final TargetState target = target();
    private final CrashQuarantine quarantine = new CrashQuarantine(
            vertx,
            t -> connects.remove(),
            ForwardingMetrics.create(new MetricRegistry()),
            reports::add,
            s -> {},
            () -> true);

    private static TargetState target() {
        Target info = new Target("m1", 0, "mailroom", "", "127.0.0.1", 1, "here", 1, true, 0);
        Placement placement = Placement.create("here");
        placement.targetSeen(info);
        return placement.target(info.incarnation()).orElseThrow();
    }

    @AfterEach
    void close() {
        Launch.await(vertx.close(), TIMEOUT_MS);
    }

    private void connectionFails(Throwable e) {
        connects.add(Future.failedFuture(e));
    }

    private void connectionSucceeds() {
        connects.add(Future.succeededFuture());
    }

    @Nested
    class ConnectionBrokeDuringACall {

        private void breaks() {
            context.runOnContext(v -> quarantine.connectionBroke(request, target));
        }

        /** Guards against a crash that never counts because the first connection met a listener just being closed. */
        @Test
        void resetThenRefusedIsACrash() {
            connectionFails(RESET);
            connectionFails(REFUSED);
            breaks();
            Conditions.await(() -> reports.size() == 1, TIMEOUT_MS);
        }

        @Test
        void acceptedThenRefusedIsACrash() {
            connectionSucceeds();
            connectionFails(REFUSED);
            breaks();
            Conditions.await(() -> reports.size() == 1, TIMEOUT_MS);
        }

        @Test
        void resetThenAcceptedIsNone() {
            connectionFails(RESET);
            connectionSucceeds();
            connectionSucceeds();
            breaks();
            Launch.await(vertx.timer(PROBES_MS), TIMEOUT_MS);
            assertThat(reports, empty());
            assertThat("all probes were made", connects, empty());
        }

        @Test
        void resetEachTimeIsNone() {
            connectionFails(RESET);
            connectionFails(RESET);
            connectionFails(RESET);
            breaks();
            Launch.await(vertx.timer(PROBES_MS), TIMEOUT_MS);
            assertThat(reports, empty());
            assertThat("all probes were made", connects, empty());
        }
    }

    @Nested
    class ConnectionClosedAtTheEndOfAResponse {

        private boolean terminated() {
            Future<Boolean> terminated = Future.future(p -> context.runOnContext(
                    v -> quarantine.terminatedWithResponse(request, target).onComplete(p)));
            return Launch.await(terminated, TIMEOUT_MS);
        }

        /** Guards against a response of a terminated target that is taken for whole. */
        @Test
        void resetEachTimeThenRefusedIsACrash() {
            connectionFails(RESET);
            connectionFails(RESET);
            connectionFails(REFUSED);
            assertThat(terminated(), is(true));
            assertThat(reports.size(), is(1));
        }

        @Test
        void acceptedIsNone() {
            connectionSucceeds();
            connectionSucceeds();
            assertThat(terminated(), is(false));
        }
    }

    /** Guards against a part that all prompts share and that a restart of all routers withholds for minutes. */
    @Nested
    class RestoredFromTheRecord {

        private final Fingerprint part = Fingerprint.ofPromptPart("shared");
        private final Suspects prompt = Suspects.of(Fingerprint.ofPromptPart("prompt"), List.of("shared", "own"));

        private QuarantineRecord record(long answeredAgoMs) {
            long nowMs = MonotonicClock.nowMs();
            List<Crash> crashes = IntStream.rangeClosed(1, 5)
                    .mapToObj(i -> new Crash(part, "t" + i, nowMs - 450L * i))
                    .toList();
            QuarantineRecord record = QuarantineRecord.of(crashes, Map.of(part, answeredAgoMs), nowMs);
            return QuarantineRecord.decode(record.encode()).get();
        }

        @Test
        void aPartThatWasAnsweredShortlyBeforeIsTried() {
            quarantine.restore(record(4_000));
            assertThat(quarantine.isQuarantined(prompt), is(false));
            assertThat(quarantine.beginSend(prompt), is(Quarantine.Decision.TRY));
            assertThat("another at the same time", quarantine.isQuarantined(prompt), is(true));
        }

        @Test
        void aPartThatWasNotIsWithheld() {
            quarantine.restore(record(600_000));
            assertThat(quarantine.beginSend(prompt), is(Quarantine.Decision.WITHHOLD));
        }

        @Test
        void anAnswerReleasesIt() {
            quarantine.restore(record(4_000));
            quarantine.receive(new PeerMessage.SuspectCompleted(part, 0));
            assertThat(quarantine.beginSend(prompt), is(Quarantine.Decision.SEND));
        }

        @Test
        void anotherCrashWithholdsIt() {
            quarantine.restore(record(4_000));
            quarantine.receive(new PeerMessage.Crashes(List.of(new PeerMessage.CrashReport(part, "t6", 0))));
            assertThat(quarantine.beginSend(prompt), is(Quarantine.Decision.WITHHOLD));
        }

        @Test
        void onlyOneRouterTries() {
            CrashQuarantine other = new CrashQuarantine(
                    vertx,
                    t -> connects.remove(),
                    ForwardingMetrics.create(new MetricRegistry()),
                    reports::add,
                    s -> {},
                    () -> false);
            other.restore(record(4_000));
            assertThat(other.beginSend(prompt), is(Quarantine.Decision.WITHHOLD));
            assertThat("time to come back", other.endsInMs(prompt), is(lessThan(2_000L)));
        }
    }
}
