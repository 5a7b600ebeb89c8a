package org.onyxhinge.wire.peer;

import java.util.List;
import java.util.Map;

import org.onyxhinge.core.order.Order;
import org.onyxhinge.core.order.OrderStatus;
import org.onyxhinge.core.place.ServiceRates;
import org.onyxhinge.core.place.TargetUse;
import org.onyxhinge.core.quarantine.RequestFingerprint;
import org.onyxhinge.core.schedule.EngineInfo;
import org.onyxhinge.core.schedule.LoadReport;

/**
 * What routers and agents, and routers among themselves, send each other. A router connects to an agent,
 * subscribes, and from then on both may send at any time. Such a connection is about the one engine
 * beside its agent, so only the hello names it. Between routers, each sends on the connection it made.
 */
public sealed interface PeerMessage {

    /** What a router sends an agent. */
    sealed interface ToAgent extends PeerMessage {}

    /** What routers send each other. */
    sealed interface BetweenRouters extends PeerMessage {}

    /** What an agent sends a router. */
    sealed interface ToRouter extends PeerMessage {}

    /**
     * The router's first message on a connection.
     *
     * @param routerId the router
     */
    record Subscribe(String routerId) implements ToAgent {}

    /**
     * The router would have to refuse a request; asks for another router's lower-tier work to be stopped.
     *
     * @param askId id the answer carries
     * @param rank rank of the request's tier
     */
    record RoomRequest(long askId, int rank) implements ToAgent {}

    /**
     * The router's answer to {@link Yield}.
     *
     * @param turnId the turn's id
     * @param made true when it stopped a request
     */
    record Yielded(long turnId, boolean made) implements ToAgent {}

    /**
     * An order for the target.
     *
     * @param orderId id the answer carries
     * @param order the order with its fencing token
     */
    record OrderRequest(long orderId, Order order) implements ToAgent {}

    /**
     * The agent's first message on a connection, sent again when the target's capacity changes.
     *
     * @param agentId the agent
     * @param engine the engine beside it
     */
    record Hello(String agentId, EngineInfo engine) implements ToRouter {}

    /**
     * A load report; sent every report interval and at once when draining starts.
     *
     * @param running sequences running on it
     * @param waiting sequences in its own queue
     * @param cachedPrefixes prefix hashes cached since the last report
     * @param draining true once the target is leaving
     */
    record Load(int running, int waiting, List<Long> cachedPrefixes, boolean draining) implements ToRouter {

        /** Copies the list. */
        public Load {
            cachedPrefixes = List.copyOf(cachedPrefixes);
        }

        /** The core's view of this report from the agent of {@code engineId}. */
        public LoadReport toReport(String engineId) {
            return new LoadReport(engineId, running, waiting, cachedPrefixes, draining);
        }
    }

    /** The agent is going away on purpose; its engine takes no new work. */
    record Bye() implements ToRouter {}

    /**
     * Another router needs room: stop one request on the engine of a tier below {@code rank}, if any.
     *
     * @param turnId id the answer carries
     * @param rank only tiers of a higher rank number may be stopped
     */
    record Yield(long turnId, int rank) implements ToRouter {}

    /**
     * The answer to {@link RoomRequest}.
     *
     * @param askId the request's id
     * @param made true when another router stopped a request
     */
    record RoomReply(long askId, boolean made) implements ToRouter {}

    /**
     * The answer to {@link OrderRequest}.
     *
     * @param orderId the order's id
     * @param status what became of it
     * @param detail why, for operators
     */
    record OrderReply(long orderId, OrderStatus status, String detail) implements ToRouter {}

    /**
     * What a router has running and has let through, in place of what it said before. A whole one comes
     * first on a connection; the others hold only what has changed since the one before.
     *
     * @param routerId the router
     * @param life a number that differs at each start of it
     * @param whole false when only changes are listed
     * @param uses calls on targets, by target; one without calls clears the entry
     * @param totals units let through since its start, by workspace
     * @param windows units that it knows all routers let through in the quota window, by workspace; only
     *     in a whole one
     * @param waiting how many calls wait for a target there now, by service and precedence; always all of them
     * @param rates what it sees of each service's calls in a second; always all of them
     */
    record Usage(
            String routerId,
            long life,
            boolean whole,
            Map<String, TargetUse> uses,
            Map<String, Long> totals,
            Map<String, Long> windows,
            Map<String, Map<Integer, Integer>> waiting,
            Map<String, ServiceRates> rates)
            implements BetweenRouters {

        /** Copies the maps. */
        public Usage {
            uses = Map.copyOf(uses);
            waiting = Map.copyOf(waiting);
            totals = Map.copyOf(totals);
            windows = Map.copyOf(windows);
            rates = Map.copyOf(rates);
        }
    }

    /**
     * A router reserves a free slot at a target for the router this is sent to, whose waiting calls are more urgent.
     *
     * @param targetId the target
     */
    record SlotReserved(String targetId) implements BetweenRouters {}

    /**
     * Calls wait at a router whose group has no slot for them; slots of another group are asked for.
     *
     * @param routerId the router
     * @param service the service they want a target of
     * @param waiting how many wait, by precedence
     */
    record SlotsWanted(String routerId, String service, Map<Integer, Integer> waiting) implements BetweenRouters {

        /** Copies the map. */
        public SlotsWanted {
            waiting = Map.copyOf(waiting);
        }
    }

    /**
     * Targets that ended while they ran requests.
     *
     * @param crashes each request that ran on one
     */
    record Crashes(List<CrashedAgo> crashes) implements BetweenRouters {

        /** Copies the list. */
        public Crashes {
            crashes = List.copyOf(crashes);
        }
    }

    /**
     * One request that ran on a target when it ended.
     *
     * @param request the request
     * @param incarnation the start of the target that ended
     * @param agoMs how long ago; routers' clocks differ
     */
    record CrashedAgo(RequestFingerprint request, String incarnation, long agoMs) {}

    /**
     * A target answered a request whole that was a suspect in crashes.
     *
     * @param request the request
     * @param agoMs how long ago
     */
    record AnsweredWhole(RequestFingerprint request, long agoMs) implements BetweenRouters {}

    /**
     * Rate limits that targets have named, or have ceased to name.
     *
     * @param limits each change, or all of them
     */
    record TargetLimits(List<LimitedAgo> limits) implements BetweenRouters {

        /** Copies the list. */
        public TargetLimits {
            limits = List.copyOf(limits);
        }
    }

    /**
     * What a target's answer said of its rate limit.
     *
     * @param incarnation the start of the target
     * @param named false when it named none
     * @param perSecond requests a second that it takes from all routers together; 0 when it named none
     * @param agoMs how long ago it named one, or the call was sent whose answer named none; routers' clocks differ
     */
    record LimitedAgo(String incarnation, boolean named, double perSecond, long agoMs) {}
}
