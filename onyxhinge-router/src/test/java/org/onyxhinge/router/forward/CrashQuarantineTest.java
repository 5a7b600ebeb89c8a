package org.onyxhinge.router.forward;

import java.net.ConnectException;
import java.net.SocketException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

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
import org.onyxhinge.core.quarantine.Fingerprint;
import org.onyxhinge.core.quarantine.Suspects;
import org.onyxhinge.runtime.Launch;
import org.onyxhinge.wire.peer.PeerMessage;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

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
            vertx, t -> connects.remove(), ForwardingMetrics.create(new MetricRegistry()), reports::add, s -> {});

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
}
