package org.onyxhinge.core.place;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.BiConsumer;

/**
 * Decides for one router where calls go, which wait and which are refused. Targets run a bounded number
 * of requests at once and know no ranks, so nothing is sent beyond that bound and the router keeps the
 * queue, by rank. A call is refused at once when the queue says it would wait too long.
 *
 * <p>Not thread-safe: one thread owns it. Times are milliseconds of one monotonic clock.
 */
public final class Placement {

    /**
     * A call is given so long to find a slot in its own group before others are asked for one: bytes between data
     * centres are billed.
     */
    private static final long BORROW_AFTER_MS = 100;

    private final PlacementSettings settings;
    private final FleetView fleet;
    private final TargetTable targets;
    private final SlotSharing slots;
    private final SlotBorrowing borrowing;
    private final Admission admission;
    private final Map<String, ServiceDemand> demands = new HashMap<>();

    private Placement(
            String router, String dataCentre, PlacementSettings settings, BiConsumer<String, String> slotReserved) {
        this.settings = settings;
        this.fleet = new FleetView(router, dataCentre, settings);
        this.targets = new TargetTable(dataCentre, settings, fleet);
        this.slots = new SlotSharing(fleet, settings, slotReserved);
        this.borrowing = new SlotBorrowing(fleet);
        this.admission = new Admission(fleet, settings.uses(Mechanism.EARLY_REFUSAL));
    }

    /** Creates a placement without targets and without peers, for a router in {@code dataCentre}. */
    public static Placement create(String dataCentre) {
        return create("", dataCentre, PlacementSettings.defaults(), (peer, target) -> {});
    }

    /**
     * Creates a placement without targets.
     *
     * @param router the router's id, as its peers know it
     * @param slotReserved told when a slot is reserved for a peer: the peer's id and the target's incarnation
     */
    public static Placement create(
            String router, String dataCentre, PlacementSettings settings, BiConsumer<String, String> slotReserved) {
        return new Placement(router, dataCentre, settings, slotReserved);
    }

    /**
     * Takes a registry entry in: a new target, another start of one, one that is back, or a change of a known one.
     *
     * @return the start of the target that is over, if the entry is of another one
     */
    public Optional<TargetState> targetSeen(Target info) {
        return targets.seen(info);
    }

    /**
     * Takes out a target that is no longer registered; calls that run there go on. What is known of it is kept for
     * when it is back: a registration can lapse, or be overwritten by mistake, while its target runs.
     *
     * @return the target, if it was known
     */
    public Optional<TargetState> targetGone(String id) {
        Optional<TargetState> gone = targets.gone(id);
        gone.ifPresent(t -> fleet.forget(t.incarnation()));
        return gone;
    }

    /** Every target, for dumps. */
    public Collection<TargetState> targets() {
        return targets.all();
    }

    /** A registered target by its incarnation. */
    public Optional<TargetState> target(String incarnation) {
        return targets.byIncarnation(incarnation);
    }

    /** Takes in another router that is registered in a data centre. */
    public void routerSeen(String router, String dataCentre) {
        fleet.registered(router, dataCentre);
    }

    /** Notes that another router is no longer registered. */
    public void routerGone(String router) {
        fleet.unregistered(router);
    }

    /** Forgets a peer that is heard no longer, with what it had running and waiting. */
    public void peerGone(String peer) {
        peerUses(peer, Map.of());
        peerWaiting(peer, Map.of());
        peerRates(peer, Map.of());
        fleet.silent(peer);
    }

    /** Takes in what a peer has running, in place of what it said before. */
    public void peerUses(String peer, Map<String, TargetUse> uses) {
        fleet.heard(peer);
        targets.peerUses(peer, uses);
    }

    /** Takes in how many calls wait at a peer, by service and {@link Precedence}, in place of what it last said. */
    public void peerWaiting(String peer, Map<String, Map<Integer, Integer>> waitingByService) {
        waitingByService.keySet().forEach(this::demand);
        demands.forEach((service, demand) -> demand.peerWaiting(peer, waitingByService.get(service)));
    }

    /** Takes in what a peer sees of each service's calls in a second, in place of what it said before. */
    public void peerRates(String peer, Map<String, ServiceRates> ratesByService) {
        ratesByService.keySet().forEach(this::demand);
        demands.forEach((service, demand) -> demand.peerRates(peer, ratesByService.get(service)));
    }

    /** Notes that a peer has reserved a slot at a target for this router's calls. */
    public void slotReserved(String incarnation, long nowMs) {
        target(incarnation).ifPresent(t -> {
            t.service().reservedForUs(t, SlotSharing.reservedUntilMs(nowMs));
            if (t.owners() == TargetState.Owners.ANOTHER_GROUP) {
                borrowing.given();
            }
        });
    }

    /** A router of another group has calls that wait: slots are reserved for those that go before this group's. */
    public void slotsWanted(String router, String service, Map<Integer, Integer> waitingByPrecedence, long nowMs) {
        demand(service).asked(router, waitingByPrecedence, nowMs);
    }

    /** What to ask a router of another group now, because calls wait that this router's group has no slot for. */
    public Optional<SlotRequest> slotsToBorrow(long nowMs) {
        if (!settings.uses(Mechanism.BORROWING)) {
            return Optional.empty();
        }
        for (Map.Entry<String, ServiceDemand> e : demands.entrySet()) {
            ServiceTargets service = targets.of(e.getKey());
            if (service != null && !service.shared()) {
                Map<Integer, Integer> waiting =
                        e.getValue().waiting().countSince(nowMs - BORROW_AFTER_MS, c -> service.canBeOnTime(c, nowMs));
                if (!waiting.isEmpty()) {
                    return borrowing.ask(nowMs).map(router -> new SlotRequest(router, e.getKey(), waiting));
                }
            }
        }
        return Optional.empty();
    }

    /** True while calls wait here. */
    public boolean callsWait() {
        return demands.values().stream().anyMatch(d -> !d.waiting().isEmpty());
    }

    /** Routers that are to be told at once what this one does. */
    public int nearRouters() {
        return fleet.near();
    }

    /** What each other router is to be told now. */
    public NewsForPeers news(long nowMs) {
        return new NewsForPeers(fleet, targets, demands, nowMs);
    }

    /** A call that arrives: it is sent, waits, or is refused at once. */
    public Verdict submit(Call call, long nowMs) {
        ServiceTargets service = targets.of(call.service());
        if (service == null || !service.anyTakesCalls()) {
            return Admission.refuseWithoutTarget(call);
        }
        ServiceDemand demand = demand(call.service());
        int rank = demand.arrived(call, nowMs);
        WaitingCalls queue = demand.waiting();
        if (queue.ahead(rank, c -> true) == 0) {
            int precedence = Precedence.of(rank, service.canBeOnTime(call, nowMs));
            Optional<TargetState> free = slots.slotFor(service, demand, call, precedence, nowMs);
            if (free.isPresent()) {
                return send(call, free.get(), nowMs);
            }
        }
        WaitEstimate estimate = admission.expectedWait(call, rank, service, demand, nowMs);
        if (admission.waitsTooLong(call, estimate, nowMs)) {
            demand.refused(call, nowMs);
            return Admission.refuse(call, Verdict.Reason.BUSY, estimate);
        }
        queue.add(call, rank, nowMs);
        return new Verdict.Wait(call);
    }

    /** Whether {@link #submit} would send a call at once. */
    public boolean takesNow(Call call, long nowMs) {
        ServiceTargets service = targets.of(call.service());
        if (service == null) {
            return false;
        }
        ServiceDemand demand = demand(call.service());
        int precedence = Precedence.of(call.rank(), service.canBeOnTime(call, nowMs));
        return demand.waiting().ahead(call.rank(), c -> true) == 0
                && slots.hasSlotFor(service, demand, call, precedence, nowMs);
    }

    /** Sends what there is room for now and refuses what has waited too long. */
    public List<Verdict> pump(long nowMs) {
        List<Verdict> out = new ArrayList<>();
        demands.forEach((name, demand) -> {
            ServiceTargets service = targets.of(name);
            if (service != null) {
                pump(service, demand, nowMs, out);
            }
        });
        demands.forEach((name, demand) -> {
            ServiceTargets service = targets.of(name);
            if (service != null && demand.waiting().isEmpty()) {
                slots.reserveWhatIsFree(service, demand, nowMs);
            }
        });
        return out;
    }

    /** True when there is something for {@link #pump} to do at once. */
    public boolean wantsPump(long nowMs) {
        return slots.anyFreed()
                || demands.entrySet().stream().anyMatch(e -> wantsPump(e.getKey(), e.getValue(), nowMs));
    }

    private boolean wantsPump(String name, ServiceDemand demand, long nowMs) {
        ServiceTargets service = targets.of(name);
        return service != null
                && (!demand.waiting().isEmpty()
                        || demand.neediestBefore(Integer.MAX_VALUE, fleet.sharing(service), nowMs)
                                .isPresent());
    }

    private void pump(ServiceTargets service, ServiceDemand demand, long nowMs, List<Verdict> out) {
        WaitingCalls queue = demand.waiting();
        for (Call call : queue.take(c -> nowMs >= c.holdUntilMs())) {
            WaitEstimate estimate = admission.expectedWait(call, call.rank(), service, demand, nowMs);
            demand.refused(call, nowMs);
            out.add(Admission.refuse(call, Verdict.Reason.WAITED, estimate));
        }
        if (queue.isEmpty() || !service.anyRoom(nowMs)) {
            return;
        }
        for (WaitingCalls.Turn turn : queue.inOrder(c -> service.canBeOnTime(c, nowMs))) {
            Call call = turn.entry().call();
            Optional<TargetState> free = slots.slotFor(service, demand, call, turn.precedence(), nowMs);
            if (free.isPresent()) {
                queue.remove(call);
                out.add(send(call, free.get(), nowMs));
            } else if (!service.isChoosy(call, nowMs)) {
                return;
            }
        }
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
        slots.freed(target);
        demand(call.service()).ended(call, nowMs);
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

    /** Notes that nothing has come from a target for too long: it gets no new calls for a while. */
    public void silent(TargetState target, long nowMs) {
        if (!target.health().paused(nowMs)) {
            target.health().unreachable(nowMs);
        }
    }

    /** Notes that a target could not be reached. */
    public void unreachable(TargetState target, long nowMs) {
        target.health().unreachable(nowMs);
    }

    /** Notes that a target turned a call away as full: its own queue is longer than what is known here. */
    public void shed(TargetState target, long nowMs) {
        target.health().shed(nowMs);
    }

    /**
     * Notes that a target has named a rate limit, in an answer or as another router tells.
     *
     * @param perSecond requests a second that it takes from all routers together
     * @param atMs when
     * @return whether that is news
     */
    public boolean limitNamed(String incarnation, double perSecond, long atMs) {
        return targets.limitNamed(incarnation, perSecond, atMs);
    }

    /**
     * Notes an answer in which a target named no rate limit.
     *
     * @param sentAtMs when the answered call was sent
     * @return whether that ends a limit
     */
    public boolean limitNotNamed(String incarnation, long sentAtMs) {
        return targets.limitNotNamed(incarnation, sentAtMs);
    }

    /** Every rate limit that is known. */
    public List<NamedRate> limits() {
        List<NamedRate> out = new ArrayList<>();
        targets.limits().forEach((incarnation, l) -> out.add(new NamedRate(incarnation, l.perSecond(), l.namedAtMs())));
        return out;
    }

    /** Calls waiting, by service, for dumps. */
    public Map<String, Integer> waitingByService() {
        Map<String, Integer> out = new TreeMap<>();
        demands.forEach((name, demand) -> out.put(name, demand.waiting().size()));
        return out;
    }

    private Verdict send(Call call, TargetState target, long nowMs) {
        ServiceDemand demand = demand(call.service());
        slots.taken(target.service(), demand, call, target, nowMs);
        demand.sent(call, nowMs);
        return new Verdict.Send(call, target);
    }

    private ServiceDemand demand(String service) {
        return demands.computeIfAbsent(service, s -> new ServiceDemand(settings.uses(Mechanism.LEAST_SHARE)));
    }
}
