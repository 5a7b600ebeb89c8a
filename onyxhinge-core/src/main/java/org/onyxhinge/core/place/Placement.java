package org.onyxhinge.core.place;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;

import org.onyxhinge.core.admit.RetryLedger;
import org.onyxhinge.core.share.ShortCallShares;
import org.onyxhinge.core.share.WorkspaceShares;

/**
 * Decides for one router which target a call is sent to, which calls are queued and which are refused. Targets run a
 * bounded number of requests at once and do not know ranks, so the router never exceeds that bound and keeps a queue
 * ordered by rank. A call is refused at once if the queue indicates that it would wait too long.
 *
 * <p>Not thread-safe: owned by one thread. Times are milliseconds of one monotonic clock.
 */
public final class Placement {

    /**
     * How long a call waits for a slot of its own group before slots of other groups are requested: traffic between
     * data centres is billed.
     */
    private static final long BORROW_DELAY_MS = 100;

    private final PlacementSettings settings;
    private final FleetView fleet;
    private final TargetTable targets;
    private final SlotSharing slots;
    /** By service. */
    private final Map<String, SlotBorrowing> borrowing = new HashMap<>();

    private final Admission admission;
    private final Optional<RetrySchedule> schedule;
    private final Map<String, ServiceDemand> demands = new HashMap<>();
    private SlotLending lending = SlotLending.NONE;

    private Placement(
            String router, String dataCentre, PlacementSettings settings, BiConsumer<String, String> slotReserved) {
        this.settings = settings;
        this.fleet = new FleetView(router, dataCentre, settings);
        this.targets = new TargetTable(dataCentre, settings, fleet);
        this.slots = new SlotSharing(fleet, settings, (peer, target) -> {
            lending = fleet.isInOwnGroup(peer) ? lending : lending.withLoan();
            slotReserved.accept(peer, target);
        });
        this.schedule = settings.uses(Mechanism.PLANNED_RETURNS)
                ? Optional.of(new RetrySchedule(RetryLedger.create(router.hashCode()), QueueOrder.of(settings)))
                : Optional.empty();
        this.admission = new Admission(fleet, settings.uses(Mechanism.EARLY_REFUSAL), schedule);
    }

    /** Creates a placement without targets and peers, for a router in {@code dataCentre}. */
    public static Placement create(String dataCentre) {
        return create("", dataCentre, PlacementSettings.defaults(), (peer, target) -> {});
    }

    /**
     * Creates a placement without targets.
     *
     * @param router the router's id, as its peers know it
     * @param slotReserved called when a slot is reserved for a peer, with the peer's id and the target's
     *     incarnation
     */
    public static Placement create(
            String router, String dataCentre, PlacementSettings settings, BiConsumer<String, String> slotReserved) {
        return new Placement(router, dataCentre, settings, slotReserved);
    }

    /**
     * Applies a registry entry: a new target, a new incarnation, a re-registered target or a change to a known one.
     *
     * @return the previous incarnation of the target, if the entry replaces it
     */
    public Optional<TargetState> targetSeen(Target info) {
        return targets.register(info);
    }

    /**
     * Removes a target that is no longer registered; its running calls continue. Its state is kept in case it is
     * registered again: a registration can lapse, or be overwritten by mistake, while the target runs.
     *
     * @return the target, if it was known
     */
    public Optional<TargetState> targetGone(String id) {
        Optional<TargetState> gone = targets.gone(id);
        gone.ifPresent(t -> fleet.forget(t.incarnation()));
        return gone;
    }

    /**
     * Records that a target has announced its shutdown: it gets no further calls, whatever the registry says, until it
     * is registered as another incarnation or {@link #leavingEnded} is called.
     *
     * @return whether this was not known
     */
    public boolean leaving(TargetState target) {
        return target.leaving(true);
    }

    /** Allows calls to a registered target again that has announced its shutdown. */
    public void leavingEnded(String incarnation) {
        target(incarnation).ifPresent(t -> t.leaving(false));
    }

    /** All registered targets, for diagnostic dumps. */
    public Collection<TargetState> targets() {
        return targets.all();
    }

    /** Returns a registered target by its incarnation. */
    public Optional<TargetState> target(String incarnation) {
        return targets.byIncarnation(incarnation);
    }

    /** Adds another router that is registered in a data centre. */
    public void routerSeen(String router, String dataCentre) {
        fleet.registered(router, dataCentre);
    }

    /** Records that another router is no longer registered. */
    public void routerGone(String router) {
        fleet.unregistered(router);
    }

    /** Removes a peer that is no longer heard from, together with its running and queued calls. */
    public void peerGone(String peer) {
        peerUses(peer, Map.of());
        peerWaiting(peer, Map.of());
        peerRates(peer, Map.of());
        demands.values().forEach(d -> d.workspaceShares().ifPresent(s -> s.peerGone(peer)));
        fleet.markSilent(peer);
    }

    /** Replaces the running calls reported by a peer. */
    public void peerUses(String peer, Map<String, TargetUse> uses) {
        fleet.markLive(peer);
        targets.peerUses(peer, uses);
    }

    /** Replaces the number of calls queued at a peer, by service and {@link Precedence}. */
    public void peerWaiting(String peer, Map<String, Map<Integer, Integer>> waitingByService) {
        waitingByService.keySet().forEach(this::demand);
        demands.forEach((service, demand) -> demand.peerWaiting(peer, waitingByService.get(service)));
    }

    /** Replaces the call rates per service reported by a peer. */
    public void peerRates(String peer, Map<String, ServiceRates> ratesByService) {
        ratesByService.keySet().forEach(this::demand);
        demands.forEach((service, demand) -> demand.peerRates(peer, ratesByService.get(service)));
    }

    /** Replaces the target time used by the workspaces' calls at a peer, by service; ignored if it is not shared. */
    public void peerWorkspaceUse(String peer, Map<String, List<WorkspaceShares.Use>> usesByService, long nowMs) {
        usesByService.keySet().forEach(this::demand);
        demands.forEach((service, demand) ->
                demand.peerWorkspaceUse(peer, usesByService.getOrDefault(service, List.of()), nowMs));
    }

    /** Records that a peer has reserved a slot on a target for this router. */
    public void slotReserved(String incarnation, long nowMs) {
        target(incarnation).ifPresent(t -> {
            t.service().reservedForSelf(t, SlotSharing.reservedUntilMs(nowMs));
            if (t.ownership() == TargetState.Owners.OTHER_GROUP) {
                lending = lending.withGrant();
                t.lent(nowMs);
                borrowing(t.service().name()).granted();
            }
        });
    }

    /**
     * Handles a slot request from a router of another group: slots are reserved for those of its calls that precede the
     * calls of this group.
     */
    public void slotsWanted(String router, String service, Map<Integer, Integer> waitingByPrecedence, long nowMs) {
        demand(service).slotsRequested(router, waitingByPrecedence, nowMs);
    }

    /**
     * Returns the slot requests to send to routers of other groups, if calls are queued for which this group has no
     * slot.
     */
    public List<SlotRequest> slotsToBorrow(long nowMs) {
        List<SlotRequest> out = new ArrayList<>();
        if (settings.uses(Mechanism.BORROWING)) {
            demands.forEach((name, demand) -> {
                ServiceTargets service = targets.of(name);
                if (service != null && !service.shared()) {
                    Map<Integer, Integer> waiting =
                            demand.waiting().countSince(nowMs - BORROW_DELAY_MS, c -> service.canBeOnTime(c, nowMs));
                    out.addAll(borrowing(name).requests(waiting, nowMs));
                }
            });
        }
        out.forEach(r -> lending = lending.withRequest());
        return out;
    }

    private SlotBorrowing borrowing(String service) {
        return borrowing.computeIfAbsent(service, s -> new SlotBorrowing(s, fleet));
    }

    /** Slots exchanged with routers of other groups since the start. */
    public SlotLending lending() {
        return lending;
    }

    /** Returns whether any call is queued at this router. */
    public boolean callsWait() {
        return demands.values().stream().anyMatch(d -> !d.waiting().isEmpty());
    }

    /** Number of routers that are notified at once of what this one does. */
    public int nearRouters() {
        return fleet.groupPeerCount();
    }

    /** Returns the current updates for all peers. */
    public PeerUpdates news(long nowMs) {
        return new PeerUpdates(fleet, targets, demands, nowMs);
    }

    /** Handles an arriving call: it is sent, queued or refused. */
    public Verdict submit(Call call, long nowMs) {
        ServiceTargets service = targets.of(call.service());
        if (service == null || !service.anyTakes(call)) {
            return Admission.refuseWithoutTarget(call);
        }
        ServiceDemand demand = demand(call.service());
        int rank = demand.arrived(call, nowMs);
        admission.arrived(service, demand, nowMs);
        WaitingCalls queue = demand.waiting();
        service.awaitedVersions(queue.awaitedVersions());
        if (!demand.anyAhead(call, rank, service, nowMs)) {
            int precedence = demand.precedence(call, rank, service, nowMs);
            Optional<TargetState> free = slots.slotFor(service, demand, call, precedence, nowMs);
            if (free.isPresent()) {
                return send(call, free.get(), nowMs);
            }
        }
        WaitEstimate estimate = admission.expectedWait(call, rank, service, demand, nowMs);
        if (admission.exceedsMaxWait(call, estimate, nowMs)) {
            demand.refused(call, nowMs);
            return admission.refuse(call, Verdict.Reason.BUSY, estimate, service, demand, nowMs);
        }
        queue.add(call, rank, nowMs);
        return new Verdict.Wait(call);
    }

    /** Places a call on a target with a version on trial, if one has a free slot; such calls never wait. */
    public Optional<Verdict.Send> submitTrial(Call call, long nowMs) {
        ServiceTargets service = targets.of(call.service());
        if (service == null) {
            return Optional.empty();
        }
        ServiceDemand demand = demand(call.service());
        Optional<TargetState> free = slots.trialSlotFor(service, demand, call, nowMs);
        if (free.isEmpty()) {
            return Optional.empty();
        }
        demand.arrived(call, nowMs);
        return Optional.of(send(call, free.get(), nowMs));
    }

    /**
     * Places a call on a target that has had it and may still take it, also while new calls to that target are paused
     * because it was silent.
     */
    public Optional<Verdict.Send> sendBack(Call call, String incarnation, long nowMs) {
        return target(incarnation)
                .filter(t -> t.takes(call) && !t.health().refusesCalls(nowMs) && t.freeSlots(nowMs) > 0)
                .map(t -> {
                    demand(call.service()).arrived(call, nowMs);
                    return send(call, t, nowMs);
                });
    }

    /** Sets what decides which calls the targets of a service get. It is asked again whenever a target changes. */
    public void versionRoles(String service, VersionRoles roles) {
        targets.versionRoles(service, roles);
    }

    /** Removes what {@link #versionRoles} has set for a service. */
    public void versionRolesRemoved(String service) {
        targets.versionRolesRemoved(service);
    }

    /** Whether a target of a service is registered. */
    public boolean hasTargets(String service) {
        return targets.anyRegistered(service);
    }

    /** Forgets the services that are not configured, have no registered target and no call waiting or running here. */
    public void retainServices(Set<String> configured) {
        Set<String> known = new HashSet<>(demands.keySet());
        known.addAll(targets.serviceNames());
        known.removeAll(configured);
        for (String service : known) {
            ServiceDemand demand = demands.get(service);
            if (!hasTargets(service) && (demand == null || demand.isIdle())) {
                demands.remove(service);
                borrowing.remove(service);
                schedule.ifPresent(s -> s.forget(service));
                targets.forget(service);
            }
        }
    }

    /** Number of services that something is kept for. */
    int serviceCount() {
        Set<String> known = new HashSet<>(demands.keySet());
        known.addAll(borrowing.keySet());
        known.addAll(targets.serviceNames());
        return known.size();
    }

    /** Average time that the targets of a service need to read one prompt token. */
    public double prefillMsPerToken(String service) {
        ServiceTargets known = targets.of(service);
        return known == null ? 0 : known.prefillMs().valueMs();
    }

    /** How long a call lasts on an average target of its service. */
    public double expectedMs(Call call) {
        ServiceTargets known = targets.of(call.service());
        return known == null ? 0 : call.outputEvents() * known.gapMs().valueMs();
    }

    /** Number of ready targets of a service with a version. */
    public int targetCount(String service, String version) {
        ServiceTargets known = targets.of(service);
        return known == null ? 0 : known.count(version);
    }

    /** Number of slots of the ready targets of a service with a role. */
    public long slots(String service, TargetRole role) {
        ServiceTargets known = targets.of(service);
        return known == null ? 0 : known.slots(role);
    }

    /** Returns whether {@link #submit} would send a call at once. */
    public boolean canSendNow(Call call, long nowMs) {
        ServiceTargets service = targets.of(call.service());
        if (service == null) {
            return false;
        }
        ServiceDemand demand = demand(call.service());
        int precedence = demand.precedence(call, call.rank(), service, nowMs);
        return !demand.anyAhead(call, call.rank(), service, nowMs)
                && slots.hasSlotFor(service, demand, call, precedence, nowMs);
    }

    /** Sends queued calls for which there are slots, and refuses those whose queue deadline has passed. */
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
                slots.reserveFreeSlots(service, demand, nowMs);
            }
        });
        return out;
    }

    /** Returns whether {@link #pump} has work to do now. */
    public boolean wantsPump(long nowMs) {
        return slots.anyFreed()
                || demands.entrySet().stream().anyMatch(e -> wantsPump(e.getKey(), e.getValue(), nowMs));
    }

    private boolean wantsPump(String name, ServiceDemand demand, long nowMs) {
        ServiceTargets service = targets.of(name);
        return service != null
                && (!demand.waiting().isEmpty()
                        || demand.mostUrgentPeerBefore(Integer.MAX_VALUE, fleet.routersSharing(service), nowMs)
                                .isPresent());
    }

    private void pump(ServiceTargets service, ServiceDemand demand, long nowMs, List<Verdict> out) {
        WaitingCalls queue = demand.waiting();
        for (Call call : queue.removeMatching(c -> nowMs >= c.queueDeadlineMs())) {
            WaitEstimate estimate = admission.expectedWait(call, call.rank(), service, demand, nowMs);
            demand.refused(call, nowMs);
            out.add(admission.refuse(call, Verdict.Reason.WAITED, estimate, service, demand, nowMs));
        }
        for (Call call : queue.removeMatching(c -> c.version().isPresent() && !service.anyTakes(c))) {
            demand.refused(call, nowMs);
            out.add(Admission.refuseWithoutTarget(call));
        }
        service.awaitedVersions(queue.awaitedVersions());
        if (queue.isEmpty() || !service.anyAvailable(nowMs) && !service.anyVersionAwaited()) {
            return;
        }
        boolean noSlotLeft = false;
        for (WaitingCalls.OrderedCall turn : queue.inOrder(c -> service.canBeOnTime(c, nowMs))) {
            Call call = turn.entry().call();
            if (noSlotLeft && call.version().isEmpty()) {
                continue;
            }
            Optional<TargetState> free = slots.slotFor(service, demand, call, turn.precedence(), nowMs);
            if (free.isPresent()) {
                queue.remove(call);
                out.add(send(call, free.get(), nowMs));
            } else if (!service.restrictsTargets(call, nowMs)) {
                noSlotLeft = true;
            }
        }
    }

    /** Removes a queued call because its caller has disconnected. */
    public void withdraw(Call call) {
        demand(call.service()).withdrawn(call);
    }

    /**
     * Records the first byte of a response.
     *
     * @param tookMs time since the call was sent
     * @param tokensToRead prompt tokens queued at the target when the call was sent, including its own
     */
    public void firstByte(Call call, TargetState target, double tookMs, long tokensToRead) {
        target.service().margin().firstByte(call, tookMs);
        target.learnFirstByte(tookMs, call.promptTokens() == 0 ? 0 : tokensToRead);
        target.prefilled(call);
    }

    /**
     * Records that a call has ended at a target.
     *
     * @param prefilled whether {@link #firstByte} was called for it
     */
    public void ended(Call call, TargetState target, boolean prefilled, long nowMs) {
        if (!prefilled) {
            target.prefilled(call);
        }
        target.service().margin().ended(call);
        target.ended();
        slots.freed(target, nowMs);
        demand(call.service()).ended(call, nowMs);
    }

    /** Records a response of a target. */
    public void answered(TargetState target, boolean good, long nowMs) {
        target.health().answered(good, nowMs);
    }

    /** Records that part of a response arrived from a target. */
    public void heard(TargetState target, long nowMs) {
        target.health().heard(nowMs);
    }

    /** Records that a call was cut off by a target. */
    public void broken(TargetState target) {
        target.health().broken();
    }

    /** Records that a target has sent nothing for too long: new calls to it are paused. */
    public void silent(TargetState target, long nowMs) {
        if (!target.health().paused(nowMs)) {
            target.health().unreachable(nowMs);
        }
    }

    /** Records that a target could not be reached. */
    public void unreachable(TargetState target, long nowMs) {
        target.health().unreachable(nowMs);
    }

    /**
     * Records that a target refused a call because it is full: its queue is longer than this router knows.
     *
     * @param retryAfterMs how long it wants no calls from this router; 0 if it does not say
     */
    public void shed(TargetState target, long nowMs, long retryAfterMs) {
        target.health().shed(nowMs, retryAfterMs);
    }

    /** Time until some target of a service accepts calls, if all of them have refused some; 0 otherwise. */
    public long refusedForMs(String service, long nowMs) {
        ServiceTargets known = targets.of(service);
        return known == null ? 0 : known.refusedForMs(nowMs);
    }

    /**
     * Records a rate limit advertised by a target, in a response or as reported by another router.
     *
     * @param perSecond requests per second that the target accepts from all routers together
     * @param atMs when it was advertised
     * @return whether this changes the known limit
     */
    public boolean limitAdvertised(String incarnation, double perSecond, long atMs) {
        return targets.limitAdvertised(incarnation, perSecond, atMs);
    }

    /**
     * Records a response in which a target advertised no rate limit.
     *
     * @param sentAtMs when the call was sent
     * @return whether this removes a known limit
     */
    public boolean limitNotAdvertised(String incarnation, long sentAtMs) {
        return targets.limitNotAdvertised(incarnation, sentAtMs);
    }

    /** Returns all known rate limits. */
    public List<AdvertisedRate> limits() {
        List<AdvertisedRate> out = new ArrayList<>();
        targets.limits()
                .forEach((incarnation, l) ->
                        out.add(new AdvertisedRate(incarnation, l.perSecond(), l.advertisedAtMs())));
        return out;
    }

    /** Number of queued calls per service, for diagnostic dumps. */
    public Map<String, Integer> waitingByService() {
        Map<String, Integer> out = new TreeMap<>();
        demands.forEach((name, demand) -> out.put(name, demand.waiting().size()));
        return out;
    }

    /** Whether a call is of a workspace above its share of the service's slots. */
    public boolean isAboveShare(Call call) {
        return demand(call.service()).isAboveShare(call);
    }

    /** Target time used recently by the workspaces' calls at all routers, by service, for diagnostic dumps. */
    public Map<String, List<WorkspaceShares.Use>> workspaceUse(long nowMs) {
        Map<String, List<WorkspaceShares.Use>> out = new TreeMap<>();
        demands.forEach((name, demand) -> demand.workspaceShares().ifPresent(s -> out.put(name, s.totalUse(nowMs))));
        return out;
    }

    /** State of the shares of short calls per service, for diagnostic dumps; empty if they are not used. */
    public Map<String, ShortCallShares.State> shortCallStates(long nowMs) {
        Map<String, ShortCallShares.State> out = new TreeMap<>();
        demands.forEach((name, demand) -> demand.shortCallState(nowMs).ifPresent(s -> out.put(name, s)));
        return out;
    }

    /** The promised retries of refused callers; empty if retries are not scheduled. */
    public Optional<RetryLedger> retryLedger() {
        return schedule.map(RetrySchedule::ledger);
    }

    private Verdict.Send send(Call call, TargetState target, long nowMs) {
        ServiceDemand demand = demand(call.service());
        demand.sent(call, target.service(), target.lastByteMs(call), nowMs);
        if (settings.uses(Mechanism.PLANNED_RETURNS)) {
            target.service().margin().sent(call, target.firstByteMs(call));
        }
        if (target.ownership() == TargetState.Owners.OTHER_GROUP) {
            lending = lending.withUse();
        }
        slots.taken(target.service(), demand, call, target, nowMs);
        return new Verdict.Send(call, target);
    }

    private ServiceDemand demand(String service) {
        return demands.computeIfAbsent(service, s -> new ServiceDemand(settings));
    }
}
