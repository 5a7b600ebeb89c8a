package org.onyxhinge.core.place;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Predicate;

/**
 * Decides for one router where calls go, which wait and which are refused. Targets run a bounded number
 * of requests at once and know no ranks, so nothing is sent beyond that bound and the router keeps the
 * queue, by rank. A call is refused at once when the queue says it would wait too long.
 *
 * <p>Not thread-safe: one thread owns it. Times are milliseconds of one monotonic clock.
 */
public final class Placement {

    /** A refused caller is asked to stay away at least this long, or it would meet the same queue. */
    private static final long SHORTEST_RETRY_MS = 300;

    /** Longest time to stay away: bursts last seconds, and callers' deadlines are a few of them. */
    private static final long LONGEST_RETRY_MS = 4_000;

    private static final long NO_TARGET_RETRY_MS = 1_000;

    /**
     * A place left to a peer is kept for it so long. Of 20, 40 and 80 ms the middle one served most on the
     * simulated fleet's heaviest pattern: the peer has used it and said so, or it stands empty for little.
     */
    private static final long PLACE_LEFT_MS = 40;

    /**
     * The expected wait must be this many times too long before a call is refused at once. More urgent calls
     * arrive unevenly: on the simulated fleet's heaviest pattern 2 instead of 1 puts 1.6 % more of the most
     * valuable calls on time.
     */
    private static final long ESTIMATE_SLACK = 2;

    private final PlacementSettings settings;
    private final TargetTable targets;
    private final Map<String, ServiceDemand> demands = new HashMap<>();
    private final RouterOrder order;
    /** Targets with places that this router's calls have freed. */
    private final Set<TargetState> freed = new LinkedHashSet<>();

    private final BiConsumer<String, String> placeLeft;

    private Placement(
            String router, String dataCentre, PlacementSettings settings, BiConsumer<String, String> placeLeft) {
        this.order = new RouterOrder(router);
        this.settings = settings;
        this.targets = new TargetTable(dataCentre, settings.learnedPace());
        this.placeLeft = placeLeft;
    }

    /** Creates a placement without targets and without peers, for a router in {@code dataCentre}. */
    public static Placement create(String dataCentre) {
        return create("", dataCentre, PlacementSettings.defaults(), (peer, target) -> {});
    }

    /**
     * Creates a placement without targets.
     *
     * @param router the router's id, as its peers know it
     * @param placeLeft told when a place is left to a peer: the peer's id and the target's incarnation
     */
    public static Placement create(
            String router, String dataCentre, PlacementSettings settings, BiConsumer<String, String> placeLeft) {
        return new Placement(router, dataCentre, settings, placeLeft);
    }

    /** Takes a registry entry in: a new target, another start of one, one that is back, or a change of a known one. */
    public void targetSeen(Target info) {
        targets.seen(info);
    }

    /**
     * Takes out a target that is no longer registered; calls that run there go on. What is known of it is kept for
     * when it is back: a registration can lapse, or be overwritten by mistake, while its target runs.
     */
    public void targetGone(String id) {
        targets.gone(id).ifPresent(t -> order.forget(t.incarnation()));
    }

    /** Every target, for dumps and for the peers. */
    public Collection<TargetState> targets() {
        return targets.all();
    }

    /** A registered target by its incarnation. */
    public Optional<TargetState> target(String incarnation) {
        return targets.byIncarnation(incarnation);
    }

    /** Forgets a peer that is heard no longer, with what it had running and waiting. */
    public void peerGone(String peer) {
        peerUses(peer, Map.of());
        peerWaiting(peer, Map.of());
        order.left(peer);
    }

    /** Takes in what a peer has running, in place of what it said before. */
    public void peerUses(String peer, Map<String, TargetUse> uses) {
        order.joined(peer);
        targets.peerUses(peer, uses);
    }

    /** Takes in how many calls wait at a peer, by service and rank, in place of what it said before. */
    public void peerWaiting(String peer, Map<String, Map<Integer, Integer>> waitingByService) {
        waitingByService.keySet().forEach(this::demand);
        demands.forEach((service, demand) -> demand.peerWaiting(peer, waitingByService.get(service)));
    }

    /** Notes that a peer leaves a place at a target to this router's more urgent calls. */
    public void placeOffered(String incarnation, long nowMs) {
        target(incarnation).ifPresent(t -> t.leftToUs(nowMs + PLACE_LEFT_MS));
    }

    /** Calls that wait here, by service and rank, for the peers. */
    public Map<String, Map<Integer, Integer>> waitingByRank() {
        Map<String, Map<Integer, Integer>> out = new HashMap<>();
        demands.forEach((service, demand) -> {
            if (!demand.waiting().isEmpty()) {
                out.put(service, demand.waiting().countByRank());
            }
        });
        return out;
    }

    /** A call that arrives: it is sent, waits, or is refused at once. */
    public Verdict submit(Call call, long nowMs) {
        ServiceTargets service = targets.of(call.service());
        if (service == null || !service.anyTakesCalls()) {
            return new Verdict.Refuse(call, Verdict.Reason.NO_TARGET, NO_TARGET_RETRY_MS, Optional.empty());
        }
        ServiceDemand demand = demand(call.service());
        int rank = demand.arrived(call, nowMs);
        WaitingCalls queue = demand.waiting();
        if (queue.ahead(rank, c -> true) == 0) {
            Optional<TargetState> free = place(service, call, rank, nowMs);
            if (free.isPresent()) {
                return send(call, free.get(), nowMs);
            }
        }
        WaitEstimate estimate = expectedWait(call, rank, nowMs);
        if (settings.refuseEarly() && nowMs + estimate.waitMs() / ESTIMATE_SLACK > call.holdUntilMs()) {
            return refuse(call, Verdict.Reason.BUSY, estimate, nowMs);
        }
        queue.add(call, rank);
        return new Verdict.Wait(call);
    }

    /** Sends what there is room for now and refuses what has waited too long. */
    public List<Verdict> pump(long nowMs) {
        List<Verdict> out = new ArrayList<>();
        demands.forEach((name, demand) -> pump(targets.of(name), demand.waiting(), nowMs, out));
        demands.forEach((name, demand) -> {
            if (demand.waiting().isEmpty()) {
                leaveWhatIsFree(targets.of(name), nowMs);
            }
        });
        return out;
    }

    /** True when there is something for {@link #pump} to do at once. */
    public boolean wantsPump(long nowMs) {
        return !freed.isEmpty()
                || demands.values().stream()
                        .anyMatch(d -> !d.waiting().isEmpty()
                                || d.neediestAbove(Integer.MAX_VALUE, order, nowMs)
                                        .isPresent());
    }

    /** Leaves places that no call here waits for to peers whose calls do, and lets go of the rest. */
    private void leaveWhatIsFree(ServiceTargets service, long nowMs) {
        if (service == null) {
            return;
        }
        Optional<TargetState> free = fastestFree(service, nowMs);
        while (free.isPresent() && leaveToPeer(service.name(), Integer.MAX_VALUE, free.get(), nowMs)) {
            free = fastestFree(service, nowMs);
        }
        freed.removeIf(t -> {
            boolean letGo = t.service() == service;
            if (letGo) {
                t.letGo();
            }
            return letGo;
        });
    }

    private void pump(ServiceTargets service, WaitingCalls queue, long nowMs, List<Verdict> out) {
        for (Call call : queue.take(c -> nowMs >= c.holdUntilMs())) {
            out.add(refuse(call, Verdict.Reason.WAITED, expectedWait(call, call.rank(), nowMs), nowMs));
        }
        if (queue.isEmpty() || !service.anyRoom(nowMs)) {
            return;
        }
        for (WaitingCalls.Entry entry : queue.inOrder(c -> service.canBeOnTime(c, nowMs))) {
            Call call = entry.call();
            Optional<TargetState> free = place(service, call, entry.rank(), nowMs);
            if (free.isPresent()) {
                queue.remove(call);
                out.add(send(call, free.get(), nowMs));
            } else if (call.avoid().isEmpty()) {
                return;
            }
        }
    }

    /** The best free place for a call, once what is free has been left to peers whose calls are more urgent. */
    private Optional<TargetState> place(ServiceTargets service, Call call, int rank, long nowMs) {
        long heardAfterMs =
                PeerCadence.intervalMs(order.others(), demand(service.name()).anyPeerWaits());
        Predicate<TargetState> ours = t -> mayTake(t, t.lastByteMs(call), heardAfterMs, nowMs);
        Optional<TargetState> free = service.best(call, ours, nowMs);
        while (free.isPresent() && leaveToPeer(service.name(), rank, free.get(), nowMs)) {
            free = service.best(call, ours, nowMs);
        }
        return free;
    }

    /**
     * Whether a free place at a target is this router's to take. All routers see the same places free and hear of
     * each other's calls up to 0.4 s late: taken by each for itself, 31 of them put 50 calls on an engine of 9 places.
     * Of a target's free places a router takes those that its own calls freed, those left to it, and of the others one
     * if its turn is among the first of them. Together with leaving places in turn it takes the worth earned on the
     * simulated fleet (31 routers, 39 engines, 3 seeds) from 50.0 to 59.5 % in an overload and from 52.5 to 61.5 %
     * where a quarter of the engines is lost; with 4 routers it changes nothing that can be told from chance.
     *
     * <p>Calls that end before other routers hear of them are sent as before: what is heard of such calls is over by
     * then. With turns, half of 31 routers had no place to take at a plain service of 18, and a fifth of its answers
     * were late that had been on time.
     *
     * @param callMs how long a call takes there
     * @param heardAfterMs time until other routers hear of what one does now
     */
    private boolean mayTake(TargetState target, double callMs, long heardAfterMs, long nowMs) {
        return callMs < heardAfterMs
                || target.hasPlaceOfOurs(nowMs)
                || order.before(target.incarnation()) < target.freeSlots(nowMs);
    }

    /** The fastest target with a free place that is this router's whatever the call. */
    private Optional<TargetState> fastestFree(ServiceTargets service, long nowMs) {
        return service.fastest(t -> mayTake(t, Double.MAX_VALUE, 0, nowMs), nowMs);
    }

    /**
     * Routers see each other's calls late, so that a place that falls free is taken by the router whose call
     * ended there, whatever waits elsewhere. It is kept free for the peer that needs it most instead.
     */
    private boolean leaveToPeer(String service, int rank, TargetState target, long nowMs) {
        if (!settings.handOver()) {
            return false;
        }
        Optional<ServiceDemand.Neediest> need = demand(service).neediestAbove(rank, order, nowMs);
        if (need.isEmpty()) {
            return false;
        }
        need.get().demand().placeLeft(nowMs + PLACE_LEFT_MS);
        target.leaveToPeer(nowMs + PLACE_LEFT_MS);
        placeLeft.accept(need.get().peer(), target.incarnation());
        return true;
    }

    /** Takes a waiting call out: its caller has left. */
    public void withdraw(Call call) {
        demand(call.service()).waiting().remove(call);
    }

    /**
     * Notes the first byte of an answer.
     *
     * @param tookMs time since the call was sent
     * @param tokensToRead prompt tokens to be read before it when it was sent, its own included
     */
    public void firstByte(Call call, TargetState target, double tookMs, long tokensToRead) {
        target.learnFirstByte(tookMs, call.promptTokens() == 0 ? 0 : tokensToRead);
        target.prefilled(call);
    }

    /**
     * Notes that a call is over at a target.
     *
     * @param prefilled whether {@link #firstByte} was called for it
     */
    public void ended(Call call, TargetState target, boolean prefilled, long nowMs) {
        if (!prefilled) {
            target.prefilled(call);
        }
        target.ended();
        freed.add(target);
        demand(call.service()).placeFreed(nowMs);
    }

    /** Notes that a target answered. */
    public void answered(TargetState target, boolean good, long nowMs) {
        target.health().answered(good, nowMs);
    }

    /** Notes bytes of an answer in progress. */
    public void heard(TargetState target, long nowMs) {
        target.health().heard(nowMs);
    }

    /** Notes that a call broke off at a target. */
    public void broken(TargetState target) {
        target.health().broken();
    }

    /** Notes that a target could not be reached, or has fallen silent. */
    public void unreachable(TargetState target, long nowMs) {
        target.health().unreachable(nowMs);
    }

    /** Notes that a target turned a call away as full: its own queue is longer than what is known here. */
    public void shed(TargetState target, long nowMs) {
        target.health().shed(nowMs);
    }

    /** When bytes last came from a target; 0 for never. */
    public long heardAtMs(TargetState target) {
        return target.health().heardAtMs();
    }

    /** Calls waiting, by service, for dumps. */
    public Map<String, Integer> waitingByService() {
        Map<String, Integer> out = new TreeMap<>();
        demands.forEach((name, demand) -> out.put(name, demand.waiting().size()));
        return out;
    }

    private Verdict send(Call call, TargetState target, long nowMs) {
        target.started(call);
        demand(call.service()).sent(call, nowMs);
        return new Verdict.Send(call, target);
    }

    private WaitEstimate expectedWait(Call call, int rank, long nowMs) {
        return demand(call.service()).expectedWait(call, rank, targets.of(call.service()), order.others() + 1, nowMs);
    }

    private Verdict refuse(Call call, Verdict.Reason reason, WaitEstimate estimate, long nowMs) {
        demand(call.service()).refused(call, nowMs);
        return new Verdict.Refuse(call, reason, retryAfterMs(estimate.waitMs()), Optional.of(estimate));
    }

    private static long retryAfterMs(long waitMs) {
        return Math.max(SHORTEST_RETRY_MS, Math.min(LONGEST_RETRY_MS, waitMs));
    }

    private ServiceDemand demand(String service) {
        return demands.computeIfAbsent(service, s -> new ServiceDemand());
    }
}
