package org.onyxhinge.wire.peer;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.onyxhinge.core.order.Order;
import org.onyxhinge.core.order.OrderStatus;
import org.onyxhinge.core.place.ServiceRates;
import org.onyxhinge.core.place.TargetUse;
import org.onyxhinge.core.quarantine.Fingerprint;
import org.onyxhinge.core.resume.StreamOrigin;
import org.onyxhinge.core.rollout.AnswerCell;
import org.onyxhinge.core.rollout.AnswerCount;
import org.onyxhinge.core.rollout.RolloutPhase;
import org.onyxhinge.core.schedule.EngineInfo;
import org.onyxhinge.core.schedule.LoadReport;
import org.onyxhinge.core.share.WorkspaceShares;
import org.onyxhinge.wire.kv.KvChanges;

/**
 * Messages between routers and agents and among routers. A router connects to an agent and subscribes; after that
 * both may send at any time. Such a connection concerns only the agent's own engine, so the engine is identified
 * only in the agent's first message. Each router sends to other routers on the connections that it opened itself.
 */
public sealed interface PeerMessage {

    /** A message from a router to an agent. */
    sealed interface ToAgent extends PeerMessage {}

    /** A message from a router to another router. */
    sealed interface RouterToRouter extends PeerMessage {}

    /** A message from an agent to a router. */
    sealed interface ToRouter extends PeerMessage {}

    /**
     * The first message that a router sends to an agent on a connection.
     *
     * @param routerId the router
     */
    record Subscribe(String routerId) implements ToAgent {}

    /**
     * Asks the agent to have another router preempt a lower-tier request. Sent when the sender would otherwise have
     * to refuse a request of its own.
     *
     * @param askId id that the reply repeats
     * @param rank tier rank of the sender's request
     */
    record PreemptionRequest(long askId, int rank) implements ToAgent {}

    /**
     * The router's reply to a preemption command.
     *
     * @param turnId id of the command
     * @param made true if the router preempted a request
     */
    record PreemptResult(long turnId, boolean made) implements ToAgent {}

    /**
     * An order to be executed by the target.
     *
     * @param orderId id that the reply repeats
     * @param order the order with its fencing token
     */
    record OrderRequest(long orderId, Order order) implements ToAgent {}

    /**
     * The first message that an agent sends on a connection; sent again when the target's capacity changes.
     *
     * @param agentId the agent
     * @param engine the agent's engine
     */
    record Hello(String agentId, EngineInfo engine) implements ToRouter {}

    /**
     * A load report, sent every report interval and immediately when draining starts.
     *
     * @param running sequences running on the engine
     * @param waiting sequences in the engine's own queue
     * @param cachedPrefixes hashes of the prefixes cached since the last report
     * @param draining true if the target is shutting down
     */
    record Load(int running, int waiting, List<Long> cachedPrefixes, boolean draining) implements ToRouter {

        /** Copies the list. */
        public Load {
            cachedPrefixes = List.copyOf(cachedPrefixes);
        }

        /** Converts to the core's load report for the engine {@code engineId}. */
        public LoadReport toReport(String engineId) {
            return new LoadReport(engineId, running, waiting, cachedPrefixes, draining);
        }
    }

    /** The agent is shutting down as planned; its engine accepts no new requests. */
    record AgentLeaving() implements ToRouter {}

    /**
     * Tells the router to preempt one of its requests on the engine, of a tier below {@code rank}, if it has one.
     * Sent because another router needs the slot.
     *
     * @param turnId id that the reply repeats
     * @param rank only requests of tiers with a higher rank number may be preempted
     */
    record PreemptCommand(long turnId, int rank) implements ToRouter {}

    /**
     * The agent's reply to a preemption request.
     *
     * @param askId id of the request
     * @param made true if another router preempted a request
     */
    record PreemptionReply(long askId, boolean made) implements ToRouter {}

    /**
     * The reply to {@link OrderRequest}.
     *
     * @param orderId id of the order
     * @param status result of the order
     * @param detail reason, for operators
     */
    record OrderReply(long orderId, OrderStatus status, String detail) implements ToRouter {}

    /**
     * A router's current calls and quota usage. The first message on a connection is a full update; later ones are
     * incremental and contain only the entries that changed since the previous one.
     *
     * @param routerId the sending router
     * @param startId random number that identifies the current start of the router process
     * @param full true for a full update, false for an incremental one
     * @param uses calls in progress, by target; an entry without calls removes the previous entry
     * @param totals quota units admitted since the start of the router, by workspace
     * @param windows quota units that all routers together admitted in the current quota window, as far as the sender
     *     knows, by workspace; only in a full update
     * @param waiting number of calls queued at the sender, by service and precedence; complete in every update
     * @param rates call rates per second that the sender observes, by service; complete in every update
     * @param workspaceUse target time used by the workspaces' calls at the sender, by service; complete in every
     *     update, empty if the slots are not shared between workspaces
     */
    record Usage(
            String routerId,
            long startId,
            boolean full,
            Map<String, TargetUse> uses,
            Map<String, Long> totals,
            Map<String, Long> windows,
            Map<String, Map<Integer, Integer>> waiting,
            Map<String, ServiceRates> rates,
            Map<String, List<WorkspaceShares.Use>> workspaceUse)
            implements RouterToRouter {

        /** Copies the maps. */
        public Usage {
            uses = Map.copyOf(uses);
            waiting = Map.copyOf(waiting);
            totals = Map.copyOf(totals);
            windows = Map.copyOf(windows);
            rates = Map.copyOf(rates);
            workspaceUse = Map.copyOf(workspaceUse);
        }
    }

    /**
     * The sender reserves a free slot of a target for the receiver, whose queued calls are more urgent.
     *
     * @param targetId the target
     */
    record SlotReserved(String targetId) implements RouterToRouter {}

    /**
     * Requests slots from another group of routers, because the sender's own group has no free slot for its calls.
     *
     * @param routerId the sending router
     * @param service the service of the queued calls
     * @param waiting number of queued calls, by precedence
     */
    record SlotDemand(String routerId, String service, Map<Integer, Integer> waiting) implements RouterToRouter {

        /** Copies the map. */
        public SlotDemand {
            waiting = Map.copyOf(waiting);
        }
    }

    /**
     * Requests that were running on targets when those targets crashed, and the shared parts of their prompts.
     *
     * @param crashes one entry for each such request or part
     */
    record Crashes(List<CrashReport> crashes) implements RouterToRouter {

        /** Copies the list. */
        public Crashes {
            crashes = List.copyOf(crashes);
        }
    }

    /**
     * A request that was running on a target when the target crashed, or a part of its prompt.
     *
     * @param suspect fingerprint of the request or part
     * @param incarnation incarnation of the target that crashed
     * @param agoMs time since the crash; a relative time, because the clocks of routers differ
     */
    record CrashReport(Fingerprint suspect, String incarnation, long agoMs) {}

    /**
     * A request suspected of crashing targets, or one with a suspected part, was completed by a target.
     *
     * @param suspect fingerprint of the request or part
     * @param agoMs time since it was sent to that target
     */
    record SuspectCompleted(Fingerprint suspect, long agoMs) implements RouterToRouter {}

    /**
     * Changes of the rate limits that targets advertise in their responses.
     *
     * @param limits the changes, or all current limits
     */
    record TargetLimits(List<LimitReport> limits) implements RouterToRouter {

        /** Copies the list. */
        public TargetLimits {
            limits = List.copyOf(limits);
        }
    }

    /**
     * The rate limit that a response of a target advertised, or its absence.
     *
     * @param incarnation incarnation of the target
     * @param advertised false if the response advertised no limit
     * @param perSecond requests per second that the target accepts from all routers together; 0 if not advertised
     * @param agoMs time since the limit was advertised or, without one, since the call with that response was sent;
     *     a relative time, because the clocks of routers differ
     */
    record LimitReport(String incarnation, boolean advertised, double perSecond, long agoMs) {}

    /**
     * Requests that the sender has refused, for the routers that their callers may retry at.
     *
     * @param requests the refused requests
     */
    record RefusedRequests(List<RefusedRequest> requests) implements RouterToRouter {

        /** Copies the list. */
        public RefusedRequests {
            requests = List.copyOf(requests);
        }
    }

    /**
     * A refused request. Times are relative to the sending, because the clocks of routers differ.
     *
     * @param key identifies what was requested, whatever id the attempt had
     * @param firstArrivalAgoMs time since the caller's first attempt arrived
     * @param deadlineInMs time until the caller stops waiting
     * @param retryInMs time until the caller was told to retry
     */
    record RefusedRequest(int key, long firstArrivalAgoMs, long deadlineInMs, long retryInMs) {}

    /**
     * What began a stream, for a router that may have to continue it.
     *
     * @param key identifies the attempt that began the stream
     * @param origin its service and version
     */
    record StreamOriginCopy(long key, StreamOrigin origin) implements RouterToRouter {}

    /**
     * Asks what began a stream.
     *
     * @param routerId the sending router
     * @param key identifies the attempt that began the stream
     */
    record StreamOriginQuery(String routerId, long key) implements RouterToRouter {}

    /**
     * The reply to {@link StreamOriginQuery}.
     *
     * @param key the key of the query
     * @param origin what began the stream; empty if the sender does not know
     */
    record StreamOriginReply(long key, Optional<StreamOrigin> origin) implements RouterToRouter {}

    /**
     * Asks for what another router has read from the key-value service, since this one cannot read it in time.
     *
     * @param routerId the sending router
     * @param askId id that the reply repeats
     * @param revision up to which the sender has all changes
     */
    record StoreQuery(String routerId, long askId, long revision) implements RouterToRouter {}

    /**
     * The reply to {@link StoreQuery}.
     *
     * @param askId id of the query
     * @param configAgeMs time since the sender's configuration was the newest; -1 if that is not known. A relative
     *     time, because the clocks of routers differ
     * @param targetsAgeMs the same of its list of targets
     * @param changes what has changed since the query's revision
     */
    record StoreReply(long askId, long configAgeMs, long targetsAgeMs, KvChanges changes) implements RouterToRouter {}

    /**
     * The phase of a rollout. A rollback is reported when it is decided, any other phase once it is recorded.
     *
     * @param service the service
     * @param orderId id of the order
     * @param phase the phase
     * @param ageMs time since the order, as far as the sender knows
     */
    record RolloutUpdate(String service, long orderId, RolloutPhase phase, long ageMs) implements RouterToRouter {}

    /**
     * What a router has counted during a rollout. Sent periodically to the few routers that decide.
     *
     * @param routerId the sending router
     * @param startId identifies the current start of the router process
     * @param service the service
     * @param orderId id of the order
     * @param phase the phase that the sender acts on
     * @param ageMs time since the order, as far as the sender knows
     * @param replacedCalls calls in progress on targets with a replaced version
     * @param answers counts since the start of the router; unchanged ones may be left out
     */
    record RolloutReport(
            String routerId,
            long startId,
            String service,
            long orderId,
            RolloutPhase phase,
            long ageMs,
            int replacedCalls,
            List<AnswerReport> answers)
            implements RouterToRouter {

        /** Copies the list. */
        public RolloutReport {
            answers = List.copyOf(answers);
        }
    }

    /**
     * Answers counted during a rollout.
     *
     * @param cell what they are counted by
     * @param count the count
     */
    record AnswerReport(AnswerCell cell, AnswerCount count) {}
}
