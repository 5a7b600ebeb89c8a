package org.onyxhinge.core.room;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides, for one engine, which routers to ask when a router would have to refuse a request of a higher tier while
 * other routers may run lower tiers there. The other routers are asked one at a time, so that at most one request is
 * preempted per preemption request: first for work at least two tiers below, then for the next tier below. A router
 * that does not answer in time is skipped. Every preemption request is answered exactly once.
 *
 * <p>Messages are sent only when a router asks, so an idle system has no control traffic. Not thread-safe: confined to
 * the agent's control thread. Times are milliseconds of a monotonic clock.
 */
public final class PreemptionBroker {

    private final long answerTimeoutMs;
    private final long lastAnswerTimeoutMs;
    private final Map<Long, PendingRequest> pendingByTurn = new HashMap<>();
    private long nextTurnId = 1;

    private PreemptionBroker(long answerTimeoutMs, long lastAnswerTimeoutMs) {
        this.answerTimeoutMs = answerTimeoutMs;
        this.lastAnswerTimeoutMs = lastAnswerTimeoutMs;
    }

    /**
     * Creates a broker.
     *
     * @param answerTimeoutMs how long a router may take to answer while others can still be asked
     * @param lastAnswerTimeoutMs how long the last router may take; the requesting router gives up by its request's own
     *     budget
     */
    public static PreemptionBroker create(long answerTimeoutMs, long lastAnswerTimeoutMs) {
        return new PreemptionBroker(answerTimeoutMs, lastAnswerTimeoutMs);
    }

    /**
     * Handles a preemption request for a request of {@code rank}; {@code routers} are all routers that use the engine.
     */
    public List<PreemptionStep> preemptionRequested(
            String routerId, long askId, int rank, Collection<String> routers, long nowMs) {
        Deque<PreemptionStep.AskRouter> remainingAsks = new ArrayDeque<>();
        for (int rankFloor = rank + 1; rankFloor >= rank; rankFloor--) {
            for (String other : routers) {
                if (!other.equals(routerId)) {
                    remainingAsks.addLast(new PreemptionStep.AskRouter(other, 0, rankFloor));
                }
            }
        }
        return askNext(new PendingRequest(routerId, askId, remainingAsks), nowMs);
    }

    /** Handles a router's answer; late and unknown answers are ignored. */
    public List<PreemptionStep> answered(String routerId, long turnId, boolean made, long nowMs) {
        PendingRequest request = pendingByTurn.get(turnId);
        if (request == null || !request.askedRouter.equals(routerId)) {
            return List.of();
        }
        pendingByTurn.remove(turnId);
        if (made) {
            return List.of(new PreemptionStep.Answer(request.routerId, request.askId, true));
        }
        return askNext(request, nowMs);
    }

    /**
     * Handles the loss of a router's connection: the next router is asked in its place, and its own requests are
     * dropped.
     */
    public List<PreemptionStep> routerDisconnected(String routerId, long nowMs) {
        pendingByTurn.values().removeIf(a -> a.routerId.equals(routerId));
        List<PreemptionStep> out = new ArrayList<>();
        for (Map.Entry<Long, PendingRequest> e : List.copyOf(pendingByTurn.entrySet())) {
            if (e.getValue().askedRouter.equals(routerId)) {
                pendingByTurn.remove(e.getKey());
                out.addAll(askNext(e.getValue(), nowMs));
            }
        }
        return out;
    }

    /** Skips routers that did not answer in time. */
    public List<PreemptionStep> tick(long nowMs) {
        List<PreemptionStep> out = new ArrayList<>();
        for (Map.Entry<Long, PendingRequest> e : List.copyOf(pendingByTurn.entrySet())) {
            if (nowMs >= e.getValue().timesOutAtMs) {
                pendingByTurn.remove(e.getKey());
                e.getValue().skipAskedRouter();
                out.addAll(askNext(e.getValue(), nowMs));
            }
        }
        return out;
    }

    /** Number of preemption requests not yet answered. */
    public int pendingCount() {
        return pendingByTurn.size();
    }

    private List<PreemptionStep> askNext(PendingRequest request, long nowMs) {
        PreemptionStep.AskRouter next = request.remainingAsks.pollFirst();
        if (next == null) {
            return List.of(new PreemptionStep.Answer(request.routerId, request.askId, false));
        }
        long turnId = nextTurnId++;
        request.askedRouter = next.routerId();
        request.timesOutAtMs = nowMs + (request.hasOtherRouters() ? answerTimeoutMs : lastAnswerTimeoutMs);
        pendingByTurn.put(turnId, request);
        return List.of(new PreemptionStep.AskRouter(next.routerId(), turnId, next.rank()));
    }

    private static final class PendingRequest {

        /** A router that timed out may still have preempted a request; asked again, it would preempt a second one. */
        private void skipAskedRouter() {
            remainingAsks.removeIf(t -> t.routerId().equals(askedRouter));
        }

        private boolean hasOtherRouters() {
            return remainingAsks.stream().anyMatch(t -> !t.routerId().equals(askedRouter));
        }

        private final String routerId;
        private final long askId;
        private final Deque<PreemptionStep.AskRouter> remainingAsks;
        private String askedRouter = "";
        private long timesOutAtMs;

        private PendingRequest(String routerId, long askId, Deque<PreemptionStep.AskRouter> remainingAsks) {
            this.routerId = routerId;
            this.askId = askId;
            this.remainingAsks = remainingAsks;
        }
    }
}
