package org.onyxhinge.core.room;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides, for one engine, whom to ask when a router would have to refuse a request of a higher tier
 * while other routers may run lower tiers there. It asks the other routers one at a time, so at most
 * one request is stopped for one asked, first for work at least two tiers below, then for the next
 * tier below. A router that does not answer in its turn is passed over. Every ask is answered once.
 *
 * <p>Nothing is sent while no router asks, so it costs no control traffic in quiet times. Not
 * thread-safe: the agent's control thread owns it. Times are milliseconds of a monotonic clock.
 */
public final class RoomBroker {

    private final long turnMs;
    private final long lastTurnMs;
    private final Map<Long, Ask> byTurn = new HashMap<>();
    private long nextTurnId = 1;

    private RoomBroker(long turnMs, long lastTurnMs) {
        this.turnMs = turnMs;
        this.lastTurnMs = lastTurnMs;
    }

    /**
     * Creates a broker.
     *
     * @param turnMs how long a router has to answer while others can be asked
     * @param lastTurnMs how long the last one has; who asks gives up by its request's own budget
     */
    public static RoomBroker create(long turnMs, long lastTurnMs) {
        return new RoomBroker(turnMs, lastTurnMs);
    }

    /** A router wants room for a request of {@code rank}; {@code routers} are all that use the engine. */
    public List<RoomStep> requested(String routerId, long askId, int rank, Collection<String> routers, long nowMs) {
        Deque<RoomStep.AskRouter> turns = new ArrayDeque<>();
        for (int floor = rank + 1; floor >= rank; floor--) {
            for (String other : routers) {
                if (!other.equals(routerId)) {
                    turns.addLast(new RoomStep.AskRouter(other, 0, floor));
                }
            }
        }
        return nextTurn(new Ask(routerId, askId, turns), nowMs);
    }

    /** A router answered its turn; late and unknown answers change nothing. */
    public List<RoomStep> answered(String routerId, long turnId, boolean made, long nowMs) {
        Ask ask = byTurn.get(turnId);
        if (ask == null || !ask.askedRouter.equals(routerId)) {
            return List.of();
        }
        byTurn.remove(turnId);
        if (made) {
            return List.of(new RoomStep.Answer(ask.routerId, ask.askId, true));
        }
        return nextTurn(ask, nowMs);
    }

    /** A router's connection is gone: its turn passes to the next, its own asks end. */
    public List<RoomStep> left(String routerId, long nowMs) {
        byTurn.values().removeIf(a -> a.routerId.equals(routerId));
        List<RoomStep> out = new ArrayList<>();
        for (Map.Entry<Long, Ask> e : List.copyOf(byTurn.entrySet())) {
            if (e.getValue().askedRouter.equals(routerId)) {
                byTurn.remove(e.getKey());
                out.addAll(nextTurn(e.getValue(), nowMs));
            }
        }
        return out;
    }

    /** Passes over routers whose turn has run out. */
    public List<RoomStep> tick(long nowMs) {
        List<RoomStep> out = new ArrayList<>();
        for (Map.Entry<Long, Ask> e : List.copyOf(byTurn.entrySet())) {
            if (nowMs >= e.getValue().turnEndsAtMs) {
                byTurn.remove(e.getKey());
                e.getValue().forgetAskedRouter();
                out.addAll(nextTurn(e.getValue(), nowMs));
            }
        }
        return out;
    }

    /** Asks not yet answered. */
    public int open() {
        return byTurn.size();
    }

    private List<RoomStep> nextTurn(Ask ask, long nowMs) {
        RoomStep.AskRouter turn = ask.turns.pollFirst();
        if (turn == null) {
            return List.of(new RoomStep.Answer(ask.routerId, ask.askId, false));
        }
        long turnId = nextTurnId++;
        ask.askedRouter = turn.routerId();
        ask.turnEndsAtMs = nowMs + (ask.othersCanBeAsked() ? turnMs : lastTurnMs);
        byTurn.put(turnId, ask);
        return List.of(new RoomStep.AskRouter(turn.routerId(), turnId, turn.rank()));
    }

    private static final class Ask {

        /** A router that is late may have stopped a request; asked again, it would stop a second one. */
        private void forgetAskedRouter() {
            turns.removeIf(t -> t.routerId().equals(askedRouter));
        }

        private boolean othersCanBeAsked() {
            return turns.stream().anyMatch(t -> !t.routerId().equals(askedRouter));
        }

        private final String routerId;
        private final long askId;
        private final Deque<RoomStep.AskRouter> turns;
        private String askedRouter = "";
        private long turnEndsAtMs;

        private Ask(String routerId, long askId, Deque<RoomStep.AskRouter> turns) {
            this.routerId = routerId;
            this.askId = askId;
            this.turns = turns;
        }
    }
}
