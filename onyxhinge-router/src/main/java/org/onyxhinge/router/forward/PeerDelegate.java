package org.onyxhinge.router.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Supplier;

import org.onyxhinge.core.place.PeerUpdate;
import org.onyxhinge.core.place.Placement;
import org.onyxhinge.core.place.SlotRequest;
import org.onyxhinge.core.route.ForwardingConfig;
import org.onyxhinge.wire.MonotonicClock;
import org.onyxhinge.wire.peer.PeerMessage;

/** Provides a forwarder's state to other routers and applies the messages received from them. */
final class PeerDelegate implements RouterPeers.Delegate {

    private final Placement placement;
    private final WorkspaceQuotas quotas;
    private final CrashQuarantine crashQuarantine;
    private final TargetRateLimits targetLimits;
    private final Rollouts rollouts;
    private final RetryRecognition retryRecognition;
    private final StreamOrigins streamOrigins;
    private final Supplier<RelayedProofs> relayedProofs;
    private final ForwardingMetrics metrics;
    private final Runnable onChange;
    private final List<PeerMessage.Usage> pendingUsage = new ArrayList<>();
    private ForwardingConfig config;

    /**
     * Creates the delegate of one forwarder.
     *
     * @param onChange called after a message was applied, so that waiting calls are reconsidered
     */
    PeerDelegate(Forwarder forwarder, Runnable onChange) {
        this.placement = forwarder.placement();
        this.quotas = forwarder.quotas();
        this.crashQuarantine = forwarder.crashQuarantine();
        this.targetLimits = forwarder.targetLimits();
        this.rollouts = forwarder.rollouts();
        this.retryRecognition = forwarder.retryRecognition();
        this.streamOrigins = forwarder.streamOrigins();
        this.relayedProofs = forwarder::relayedProofs;
        this.metrics = forwarder.metrics();
        this.onChange = onChange;
    }

    /** Sets the active configuration; usage received before the first one is counted now. */
    void configChanged(ForwardingConfig newer) {
        config = newer;
        pendingUsage.forEach(this::recordUsage);
        pendingUsage.clear();
    }

    /** True once a configuration has been set. */
    boolean hasConfig() {
        return config != null;
    }

    private void recordUsage(PeerMessage.Usage usage) {
        quotas.recordPeerUsage(usage, config::workspace, MonotonicClock.nowMs());
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
    public List<SlotRequest> slotsToBorrow() {
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
    public void onUsage(String routerId, PeerMessage.Usage usage) {
        placement.peerUses(routerId, usage.uses());
        placement.peerWaiting(routerId, usage.waiting());
        placement.peerRates(routerId, usage.rates());
        placement.peerWorkspaceUse(routerId, usage.workspaceUse(), MonotonicClock.nowMs());
        if (config == null) {
            // The usage names workspaces that are not known yet; it must be kept, since a full message is not sent
            // again.
            pendingUsage.add(usage);
        } else {
            recordUsage(usage);
        }
        onChange.run();
    }

    @Override
    public void onRouterSilent(String routerId) {
        placement.peerGone(routerId);
        onChange.run();
    }

    @Override
    public void onRouterJoined(String routerId, String dataCentre) {
        placement.routerSeen(routerId, dataCentre);
    }

    @Override
    public void onRouterLeft(String routerId) {
        placement.routerGone(routerId);
        quotas.routerLeft(routerId);
    }

    @Override
    public void onSlotReserved(String incarnation) {
        metrics.event("slots.reserved_here");
        placement.slotReserved(incarnation, MonotonicClock.nowMs());
        onChange.run();
    }

    @Override
    public void onSlotsWanted(PeerMessage.SlotDemand wanted) {
        placement.slotsWanted(wanted.routerId(), wanted.service(), wanted.waiting(), MonotonicClock.nowMs());
        onChange.run();
    }

    @Override
    public List<PeerMessage.RouterToRouter> broadcastState() {
        List<PeerMessage.RouterToRouter> out = new ArrayList<>();
        out.addAll(crashQuarantine.state());
        PeerMessage.TargetLimits limits = targetLimits.activeLimits();
        if (!limits.limits().isEmpty()) {
            out.add(limits);
        }
        out.addAll(rollouts.phases());
        return out;
    }

    @Override
    public void onLinksUp() {
        streamOrigins.linksUp();
    }

    @Override
    public void onCrashes(PeerMessage.Crashes crashes) {
        crashQuarantine.receive(crashes);
    }

    @Override
    public void onTargetLimits(PeerMessage.TargetLimits limits) {
        targetLimits.receive(limits);
        onChange.run();
    }

    @Override
    public void onRolloutUpdate(PeerMessage.RolloutUpdate update) {
        rollouts.receive(update);
    }

    @Override
    public void onRolloutReport(PeerMessage.RolloutReport report) {
        rollouts.receive(report);
    }

    @Override
    public void onRefusedRequests(PeerMessage.RefusedRequests refused) {
        retryRecognition.receive(refused);
    }

    @Override
    public void onStreamOrigin(PeerMessage.StreamOriginCopy copy) {
        streamOrigins.receive(copy);
    }

    @Override
    public void onStreamOriginQuery(PeerMessage.StreamOriginQuery query) {
        streamOrigins.receive(query);
    }

    @Override
    public void onStreamOriginReply(PeerMessage.StreamOriginReply reply) {
        streamOrigins.receive(reply);
    }

    @Override
    public void onStoreQuery(PeerMessage.StoreQuery query) {
        relayedProofs.get().receive(query);
    }

    @Override
    public void onStoreReply(PeerMessage.StoreReply reply) {
        relayedProofs.get().receive(reply);
    }

    @Override
    public void onAnswered(PeerMessage.SuspectCompleted answered) {
        crashQuarantine.receive(answered);
    }
}
