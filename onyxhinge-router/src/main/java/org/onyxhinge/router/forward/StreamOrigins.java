package org.onyxhinge.router.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerRequest;
import org.jboss.logging.Logger;
import org.onyxhinge.core.collect.BoundedMap;
import org.onyxhinge.core.place.RendezvousOrder;
import org.onyxhinge.core.place.Target;
import org.onyxhinge.core.resume.ConfirmedList;
import org.onyxhinge.core.resume.OriginInference;
import org.onyxhinge.core.resume.ServedVersions;
import org.onyxhinge.core.resume.StreamOrigin;
import org.onyxhinge.core.resume.StreamOriginTable;
import org.onyxhinge.core.route.CallKind;
import org.onyxhinge.core.route.WorkspaceAccess;
import org.onyxhinge.runtime.ReadBarrier;
import org.onyxhinge.wire.MonotonicClock;
import org.onyxhinge.wire.peer.PeerMessage;

/**
 * Finds out which version began a stream that a caller resumes. Every router records the streams that it sends to
 * targets, copies each record to a few other routers, and asks these about streams that it does not know.
 */
final class StreamOrigins {

    private static final Logger LOG = Logger.getLogger(StreamOrigins.class);

    /** Routers that get a copy. All of them would have to fail together with the router that began the stream. */
    private static final int COPIES = 4;

    /** Routers that are asked; more than get a copy, because the views of the fleet may differ. */
    private static final int ASKED = COPIES + 2;

    /** More than a router begins in the seconds after its start, until its links are up; sent in one turn. */
    private static final int MAX_INCOMPLETE_COPIES = 1_024;

    /** A busy router of another data centre replies within this time. */
    private static final long QUERY_TIMEOUT_MS = 200;

    /**
     * Callers give a stream up after 2 s without an event, and may find another router after a refusal. At the usual
     * pause of 0.66 s between reads, one that is sent from now on is answered within 1.66 s.
     */
    private static final long READ_WAIT_MS = 1_700;

    /** A stream whose second part begins just before the timeout of its route lasts as long again. */
    private static final int MAX_PARTS = 2;

    private final Vertx vertx;
    private final String routerId;
    private final Supplier<RouterPeers> peers;
    private final Supplier<ReadBarrier> reads;
    private final ToLongFunction<String> longestCallMs;
    private final ForwardingMetrics metrics;
    private final StreamOriginTable origins = StreamOriginTable.create();
    private final ServedVersions versions = ServedVersions.unread();
    private final ConfirmedList list = ConfirmedList.unread();
    private final LongSupplier listClockMs;
    private final Map<Long, Query> queries = new HashMap<>();
    private final Map<Long, Copied> incompleteCopies = BoundedMap.dropOldest(MAX_INCOMPLETE_COPIES);
    private final Set<AwaitedRead> awaitedReads = new LinkedHashSet<>();

    /**
     * A stream that a caller resumes.
     *
     * @param key identifies the attempt that began it; empty if the caller does not name it
     * @param takenUpAtMs when, by the clock of the list of targets
     * @param then gets the result
     */
    private record Resumption(Optional<Long> key, CallPlan plan, long takenUpAtMs, Consumer<Result> then) {}

    /**
     * What the routers that were asked have replied about a stream whose origin none of them knows.
     *
     * @param allReplied whether all have replied that may have it on record
     * @param everywhere whether no other router that is running may know more
     */
    private record Replies(boolean allReplied, boolean everywhere) {}

    /**
     * An origin of this router.
     *
     * @param routers those that got a copy
     */
    private record Copied(StreamOrigin origin, Set<String> routers) {}

    /** A stream that waits for an answer to a read of the list of targets that is sent after it was taken up. */
    private record AwaitedRead(Resumption resumption, Replies replies) {}

    /** A query that has not been answered by all routers. */
    private static final class Query {
        private final List<Consumer<Optional<StreamOrigin>>> waiting = new ArrayList<>();
        private int repliesLeft;
        /** Whether all running routers are asked that may know more. */
        private boolean complete;
        /** Whether those that are not running are asked, too. */
        private boolean completeWithDown;

        private long timerId;

        private Replies replies() {
            return new Replies(completeWithDown && repliesLeft == 0, complete && repliesLeft == 0);
        }
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
     * @param listClockMs the clock that reads of the list of targets are stamped by
     * @param longestCallMs longest time that the routes of a service allow a call
     */
    StreamOrigins(
            Vertx vertx,
            String routerId,
            Supplier<RouterPeers> peers,
            Supplier<ReadBarrier> reads,
            LongSupplier listClockMs,
            ToLongFunction<String> longestCallMs,
            ForwardingMetrics metrics) {
        this.vertx = vertx;
        this.routerId = routerId;
        this.peers = peers;
        this.reads = reads;
        this.listClockMs = listClockMs;
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
     * Records that the complete answer to a read of the list of targets has been applied.
     *
     * @param sentAtMs when the read was sent
     */
    void listConfirmed(long sentAtMs) {
        listRead(list.confirmed(sentAtMs));
    }

    /** Records that the list of targets is never out of date. */
    void listAuthoritative() {
        listRead(list.authoritative());
    }

    /** Records that the next read of the list shows nothing of the targets that came and went since the last one. */
    void listHistoryLost() {
        list.historyLost();
    }

    /** Records that reads of the list that are sent earlier confirm nothing. */
    void listConfirmableIn(long delayMs) {
        list.confirmableFrom(listClockMs.getAsLong() + delayMs);
    }

    private void listRead(boolean gapBefore) {
        if (gapBefore) {
            long nowMs = MonotonicClock.nowMs();
            LOG.infof("versions followed atMs=%d why=\"earlier ones may be unknown\"", nowMs);
            versions.followedFrom(nowMs);
        }
        List<AwaitedRead> covered = awaitedReads.stream()
                .filter(w -> list.covers(w.resumption().takenUpAtMs()))
                .toList();
        covered.forEach(w -> {
            awaitedReads.remove(w);
            finish("own", ownOrigin(w.resumption()), w.replies(), w.resumption());
        });
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
        incompleteCopies.remove(key);
        copy(key, new Copied(origin, new HashSet<>()));
    }

    private void copy(long key, Copied copied) {
        PeerMessage.StreamOriginCopy message = new PeerMessage.StreamOriginCopy(key, copied.origin());
        peers.get().firstConnected(key, COPIES).stream()
                .filter(copied.routers()::add)
                .forEach(id -> peers.get().sendBestEffort(id, message));
        if (copied.routers().size() < Math.min(COPIES, peers.get().registeredOthers())) {
            incompleteCopies.put(key, copied);
        } else {
            incompleteCopies.remove(key);
        }
    }

    /** Sends the origins that had too few connected routers to be copied to, now that there are more. */
    void linksUp() {
        Map.copyOf(incompleteCopies).forEach(this::copy);
    }

    /**
     * Finds the origin of a stream that a caller resumes.
     *
     * @param then gets the result, at once or later
     */
    void find(CallPlan plan, HttpServerRequest request, Consumer<Result> then) {
        Optional<Long> key = plan.head().originAttemptId().map(id -> key(plan, request, id));
        Resumption resumption = new Resumption(key, plan, listClockMs.getAsLong(), then);
        if (key.isEmpty()) {
            // No router can find it on record.
            finish("own", Optional.empty(), new Replies(true, true), resumption);
            return;
        }
        Optional<StreamOrigin> own = ownOrigin(resumption);
        if (own.isPresent()) {
            finish("own", own, new Replies(false, false), resumption);
        } else {
            ask(key.get(), resumption);
        }
    }

    private Optional<StreamOrigin> ownOrigin(Resumption resumption) {
        return resumption.key().flatMap(origins::find);
    }

    private void ask(long key, Resumption resumption) {
        Query known = queries.get(key);
        Query query = known == null ? new Query() : known;
        query.waiting.add(found -> finish("asked", found, query.replies(), resumption));
        if (known != null) {
            return;
        }
        List<String> asked = peers.get().firstConnected(key, ASKED);
        query.repliesLeft = asked.size();
        query.complete = asked.size() >= Math.min(ASKED, peers.get().expectedRouters() - 1);
        query.completeWithDown = asked.size() >= Math.min(ASKED, peers.get().registeredOthers());
        if (asked.isEmpty()) {
            end(key, query, Optional.empty());
            return;
        }
        queries.put(key, query);
        // Copies and replies may lie unread after a pause.
        query.timerId = vertx.setTimer(QUERY_TIMEOUT_MS, t -> reads.get().afterRead(() -> timedOut(key, query)));
        PeerMessage.StreamOriginQuery message = new PeerMessage.StreamOriginQuery(routerId, key);
        asked.forEach(id -> peers.get().sendBestEffort(id, message));
    }

    private void timedOut(long key, Query query) {
        if (queries.get(key) == query) {
            end(key, query, origins.find(key));
        }
    }

    private void end(long key, Query query, Optional<StreamOrigin> found) {
        queries.remove(key);
        vertx.cancelTimer(query.timerId);
        query.waiting.forEach(w -> w.accept(found));
    }

    private void finish(String source, Optional<StreamOrigin> found, Replies replies, Resumption resumption) {
        if (found.isPresent()) {
            conclude(known(found.get(), source, resumption.plan()), resumption);
            return;
        }
        OriginInference inference = OriginInference.of(
                soleVersion(resumption.plan()),
                replies.allReplied(),
                replies.everywhere(),
                list,
                resumption.takenUpAtMs(),
                listClockMs.getAsLong());
        switch (inference) {
            case OriginInference.Inferred i -> {
                StreamOrigin origin = new StreamOrigin(resumption.plan().service(), i.version());
                conclude(new Result.Known(origin, "inferred"), resumption);
            }
            case OriginInference.AwaitsRead a -> awaitRead(new AwaitedRead(resumption, replies));
            case OriginInference.Unknown u -> conclude(new Result.Unknown(u.everywhere()), resumption);
        }
    }

    private void awaitRead(AwaitedRead read) {
        metrics.event("origins.reads_awaited");
        awaitedReads.add(read);
        vertx.setTimer(
                READ_WAIT_MS,
                t -> reads.get().afterRead(() -> {
                    if (awaitedReads.remove(read)) {
                        conclude(new Result.Unknown(false), read.resumption());
                    }
                }));
    }

    private void conclude(Result result, Resumption resumption) {
        metrics.event("origins."
                + switch (result) {
                    case Result.Known k -> k.source();
                    case Result.Unknown u -> "unknown";
                });
        resumption.then().accept(result);
    }

    private static Result known(StreamOrigin origin, String source, CallPlan plan) {
        boolean allowed =
                plan.route().shares().stream().anyMatch(s -> s.service().equals(origin.service()));
        return allowed ? new Result.Known(origin, source) : new Result.Unknown(true);
    }

    /** The version of a stream if it is the only one on the list that can have begun it. */
    private Optional<String> soleVersion(CallPlan plan) {
        if (plan.route().shares().size() != 1) {
            return Optional.empty();
        }
        long longestStreamMs = MAX_PARTS * longestCallMs.applyAsLong(plan.service());
        return versions.soleVersion(plan.service(), longestStreamMs, MonotonicClock.nowMs());
    }

    /** Records what began a stream at another router. */
    void receive(PeerMessage.StreamOriginCopy copy) {
        // The router that sent it has continued the stream, and copies its origin from now on.
        incompleteCopies.remove(copy.key());
        origins.add(copy.key(), copy.origin());
    }

    /** Replies to another router; that it does not know, only after it has read what may be a copy. */
    void receive(PeerMessage.StreamOriginQuery query) {
        if (origins.find(query.key()).isPresent()) {
            reply(query);
        } else {
            reads.get().afterRead(() -> reply(query));
        }
    }

    private void reply(PeerMessage.StreamOriginQuery query) {
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
            end(reply.key(), query, origins.find(reply.key()));
        }
    }

    /** Number of origins on record, for the state dump. */
    int size() {
        return origins.size();
    }
}
