package org.onyxhinge.router.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerRequest;
import org.onyxhinge.core.place.RendezvousOrder;
import org.onyxhinge.core.place.Target;
import org.onyxhinge.core.resume.ServedVersions;
import org.onyxhinge.core.resume.StreamOrigin;
import org.onyxhinge.core.resume.StreamOriginTable;
import org.onyxhinge.core.route.CallKind;
import org.onyxhinge.core.route.WorkspaceAccess;
import org.onyxhinge.wire.MonotonicClock;
import org.onyxhinge.wire.peer.PeerMessage;

/**
 * Finds out which version began a stream that a caller resumes. Every router records the streams that it sends to
 * targets, copies each record to a few other routers, and asks these about streams that it does not know.
 */
final class StreamOrigins {

    /** Routers that get a copy. All of them would have to fail together with the router that began the stream. */
    private static final int COPIES = 4;

    /** Routers that are asked; more than get a copy, because the views of the fleet may differ. */
    private static final int ASKED = COPIES + 2;

    /** A busy router of another data centre replies within this time. */
    private static final long QUERY_TIMEOUT_MS = 200;

    /** A stream whose second part begins just before the timeout of its route lasts as long again. */
    private static final int MAX_PARTS = 2;

    private final Vertx vertx;
    private final String routerId;
    private final Supplier<RouterPeers> peers;
    private final ToLongFunction<String> longestCallMs;
    private final ForwardingMetrics metrics;
    private final StreamOriginTable origins = StreamOriginTable.create();
    private final ServedVersions versions = ServedVersions.startingAt(MonotonicClock.nowMs());
    private final Map<Long, Query> queries = new HashMap<>();

    /** A query that has not been answered by all routers. */
    private static final class Query {
        private final List<Consumer<Optional<StreamOrigin>>> waiting = new ArrayList<>();
        private int repliesLeft;
        /** Whether all routers are asked that may know more. */
        private boolean complete;

        private long timerId;
    }

    /** What is known of the beginning of a stream. */
    sealed interface Result {

        /**
         * The stream can only be continued by targets of its origin.
         *
         * @param source how it is known, for the log
         */
        record Known(StreamOrigin origin, String source) implements Result {}

        /**
         * The stream cannot be continued here.
         *
         * @param everywhere whether no other router can know more
         */
        record Unknown(boolean everywhere) implements Result {}
    }

    /**
     * Creates an instance without records.
     *
     * @param longestCallMs longest time that the routes of a service allow a call
     */
    StreamOrigins(
            Vertx vertx,
            String routerId,
            Supplier<RouterPeers> peers,
            ToLongFunction<String> longestCallMs,
            ForwardingMetrics metrics) {
        this.vertx = vertx;
        this.routerId = routerId;
        this.peers = peers;
        this.longestCallMs = longestCallMs;
        this.metrics = metrics;
    }

    /**
     * Identifies an attempt of a caller. It depends on the workspace and on what is called, so that a caller learns
     * nothing about other streams by naming their ids.
     */
    private static long key(CallPlan plan, HttpServerRequest request, String attemptId) {
        String workspace = plan.workspace().map(WorkspaceAccess::name).orElse("");
        String host = request.getHeader("Host");
        return RendezvousOrder.hash(String.join("\n", workspace, host == null ? "" : host, request.path(), attemptId));
    }

    /** Records a registered target. */
    void targetRegistered(Target target) {
        versions.registered(target.id(), new StreamOrigin(target.service(), target.version()), MonotonicClock.nowMs());
    }

    /** Records that a target is no longer registered. */
    void targetRemoved(String id) {
        versions.removed(id, MonotonicClock.nowMs());
    }

    /**
     * Records the version that a call is about to be sent to, here and at the routers that keep copies, if its caller
     * may resume the stream. This precedes any event, after which the caller may resume it at one of them.
     */
    void sending(CallPlan plan, HttpServerRequest request, String version) {
        CallHead head = plan.head();
        boolean resumable =
                plan.route().kind() == CallKind.STREAM && plan.route().repeatable();
        Optional<String> attemptId =
                head.lastEventId().isEmpty() ? Optional.of(head.requestId()) : head.originAttemptId();
        if (!resumable || attemptId.isEmpty() || version.isEmpty()) {
            return;
        }
        long key = key(plan, request, attemptId.get());
        StreamOrigin origin = new StreamOrigin(plan.service(), version);
        origins.add(key, origin);
        PeerMessage.StreamOriginCopy copy = new PeerMessage.StreamOriginCopy(key, origin);
        peers.get().firstConnected(key, COPIES).forEach(id -> peers.get().sendBestEffort(id, copy));
    }

    /**
     * Finds the origin of a stream that a caller resumes.
     *
     * @param then gets the result, at once or later
     */
    void find(CallPlan plan, HttpServerRequest request, Consumer<Result> then) {
        Optional<Long> key = plan.head().originAttemptId().map(id -> key(plan, request, id));
        Optional<StreamOrigin> own = key.flatMap(origins::find);
        if (own.isPresent() || key.isEmpty()) {
            finish("own", own, true, plan, then);
        } else {
            ask(key.get(), plan, then);
        }
    }

    private void ask(long key, CallPlan plan, Consumer<Result> then) {
        Query known = queries.get(key);
        Query query = known == null ? new Query() : known;
        query.waiting.add(found -> finish("asked", found, query.complete && query.repliesLeft == 0, plan, then));
        if (known != null) {
            return;
        }
        List<String> asked = peers.get().firstConnected(key, ASKED);
        query.repliesLeft = asked.size();
        query.complete = asked.size() >= Math.min(ASKED, peers.get().expectedRouters() - 1);
        if (asked.isEmpty()) {
            end(key, query, Optional.empty());
            return;
        }
        queries.put(key, query);
        query.timerId = vertx.setTimer(QUERY_TIMEOUT_MS, t -> end(key, query, Optional.empty()));
        PeerMessage.StreamOriginQuery message = new PeerMessage.StreamOriginQuery(routerId, key);
        asked.forEach(id -> peers.get().sendBestEffort(id, message));
    }

    private void end(long key, Query query, Optional<StreamOrigin> found) {
        queries.remove(key);
        vertx.cancelTimer(query.timerId);
        query.waiting.forEach(w -> w.accept(found));
    }

    private void finish(
            String source, Optional<StreamOrigin> found, boolean everywhere, CallPlan plan, Consumer<Result> then) {
        Result result = found.<Result>map(o -> known(o, source, plan))
                .orElseGet(() -> sole(plan).orElse(new Result.Unknown(everywhere)));
        metrics.event("origins."
                + switch (result) {
                    case Result.Known k -> k.source();
                    case Result.Unknown u -> "unknown";
                });
        then.accept(result);
    }

    private static Result known(StreamOrigin origin, String source, CallPlan plan) {
        boolean allowed =
                plan.route().shares().stream().anyMatch(s -> s.service().equals(origin.service()));
        return allowed ? new Result.Known(origin, source) : new Result.Unknown(true);
    }

    /** The origin of a stream if only one version can have begun it. */
    private Optional<Result> sole(CallPlan plan) {
        if (plan.route().shares().size() != 1) {
            return Optional.empty();
        }
        long longestStreamMs = MAX_PARTS * longestCallMs.applyAsLong(plan.service());
        return versions.soleVersion(plan.service(), longestStreamMs, MonotonicClock.nowMs())
                .map(v -> new Result.Known(new StreamOrigin(plan.service(), v), "inferred"));
    }

    /** Records what began a stream at another router. */
    void receive(PeerMessage.StreamOriginCopy copy) {
        origins.add(copy.key(), copy.origin());
    }

    /** Replies to another router. */
    void receive(PeerMessage.StreamOriginQuery query) {
        PeerMessage.StreamOriginReply reply = new PeerMessage.StreamOriginReply(query.key(), origins.find(query.key()));
        peers.get().sendBestEffort(query.routerId(), reply);
    }

    /** Applies the reply of another router. */
    void receive(PeerMessage.StreamOriginReply reply) {
        Query query = queries.get(reply.key());
        if (query == null) {
            return;
        }
        reply.origin().ifPresent(o -> origins.add(reply.key(), o));
        query.repliesLeft--;
        if (reply.origin().isPresent() || query.repliesLeft == 0) {
            end(reply.key(), query, reply.origin());
        }
    }

    /** Number of origins on record, for the state dump. */
    int size() {
        return origins.size();
    }
}
