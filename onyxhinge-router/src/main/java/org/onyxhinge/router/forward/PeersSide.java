package org.onyxhinge.router.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

import org.onyxhinge.core.place.PeerUpdate;
import org.onyxhinge.core.place.Placement;
import org.onyxhinge.core.place.SlotRequest;
import org.onyxhinge.core.route.ForwardingConfig;
import org.onyxhinge.wire.MonotonicClock;
import org.onyxhinge.wire.peer.PeerMessage;

/** What other routers are told of a forwarder, and what is made of what they say. */
final class PeersSide implements RouterPeers.Side {

    private final Placement placement;
    private final WorkspaceQuotas quotas;
    private final CrashingRequests crashing;
    private final LimitedTargets limited;
    private final ForwardingMetrics metrics;
    private final Runnable changed;
    private final List<PeerMessage.Usage> early = new ArrayList<>();
    private ForwardingConfig config;

    /**
     * Creates the side of one forwarder.
     *
     * @param changed called when something was heard, so that waiting calls are looked at
     */
    PeersSide(
            Placement placement,
            WorkspaceQuotas quotas,
            CrashingRequests crashing,
            LimitedTargets limited,
            ForwardingMetrics metrics,
            Runnable changed) {
        this.placement = placement;
        this.quotas = quotas;
        this.crashing = crashing;
        this.limited = limited;
        this.metrics = metrics;
        this.changed = changed;
    }

    /** Notes the configuration in force; what was heard before the first one is counted now. */
    void configured(ForwardingConfig newer) {
        config = newer;
        early.forEach(this::count);
        early.clear();
    }

    /** True once it has a configuration. */
    boolean hasConfig() {
        return config != null;
    }

    private void count(PeerMessage.Usage usage) {
        quotas.heard(usage, config::workspace, MonotonicClock.nowMs());
    }

    @Override
    public Function<String, PeerUpdate> news() {
        return placement.news(MonotonicClock.nowMs())::forRouter;
    }

    @Override
    public int nearRouters() {
        return placement.nearRouters();
    }

    @Override
    public boolean callsWait() {
        return placement.callsWait();
    }

    @Override
    public Optional<SlotRequest> slotsToBorrow() {
        return placement.slotsToBorrow(MonotonicClock.nowMs());
    }

    @Override
    public Map<String, Long> totals() {
        return quotas.totals();
    }

    @Override
    public Map<String, Long> windows() {
        return quotas.knownWindows(MonotonicClock.nowMs());
    }

    @Override
    public void usageHeard(String routerId, PeerMessage.Usage usage) {
        placement.peerUses(routerId, usage.uses());
        placement.peerWaiting(routerId, usage.waiting());
        placement.peerRates(routerId, usage.rates());
        if (config == null) {
            // Its workspaces are not known yet; a whole message is not sent again.
            early.add(usage);
        } else {
            count(usage);
        }
        changed.run();
    }

    @Override
    public void routerSilent(String routerId) {
        placement.peerGone(routerId);
        changed.run();
    }

    @Override
    public void routerJoined(String routerId, String dataCentre) {
        placement.routerSeen(routerId, dataCentre);
    }

    @Override
    public void routerLeft(String routerId) {
        placement.routerGone(routerId);
    }

    @Override
    public void slotReserved(String incarnation) {
        metrics.event("slots.reserved_here");
        placement.slotReserved(incarnation, MonotonicClock.nowMs());
        changed.run();
    }

    @Override
    public void slotsWanted(PeerMessage.SlotsWanted wanted) {
        placement.slotsWanted(wanted.routerId(), wanted.service(), wanted.waiting(), MonotonicClock.nowMs());
        changed.run();
    }

    @Override
    public List<PeerMessage.BetweenRouters> knownToAll() {
        List<PeerMessage.BetweenRouters> out = new ArrayList<>();
        PeerMessage.Crashes crashes = crashing.news();
        if (!crashes.crashes().isEmpty()) {
            out.add(crashes);
        }
        PeerMessage.TargetLimits limits = limited.news();
        if (!limits.limits().isEmpty()) {
            out.add(limits);
        }
        return out;
    }

    @Override
    public void crashesHeard(PeerMessage.Crashes crashes) {
        crashing.heard(crashes);
    }

    @Override
    public void limitsHeard(PeerMessage.TargetLimits limits) {
        limited.heard(limits);
        changed.run();
    }

    @Override
    public void answeredWhole(PeerMessage.AnsweredWhole answered) {
        crashing.heard(answered);
    }
}
