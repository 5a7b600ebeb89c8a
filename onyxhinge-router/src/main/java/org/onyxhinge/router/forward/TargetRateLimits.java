package org.onyxhinge.router.forward;

import java.util.List;
import java.util.function.Consumer;

import org.jboss.logging.Logger;
import org.onyxhinge.core.place.AdvertisedLimit;
import org.onyxhinge.core.place.Placement;
import org.onyxhinge.core.place.TargetState;
import org.onyxhinge.wire.MonotonicClock;
import org.onyxhinge.wire.peer.PeerMessage;

/** The rate limits that targets report in their responses, shared between all routers at once. */
final class TargetRateLimits {

    private static final Logger LOG = Logger.getLogger(TargetRateLimits.class);

    private final Placement placement;
    private final ForwardingMetrics metrics;
    private final Consumer<PeerMessage.RouterToRouter> broadcast;

    /**
     * Creates an instance without limits.
     *
     * @param broadcast sends a message to every other router
     */
    TargetRateLimits(Placement placement, ForwardingMetrics metrics, Consumer<PeerMessage.RouterToRouter> broadcast) {
        this.placement = placement;
        this.metrics = metrics;
        this.broadcast = broadcast;
    }

    /**
     * Handles the head of a target's response. One that may be a failure on the way is no evidence that a limit has
     * ended.
     *
     * @param sentAtMs when the call was sent
     */
    void responseReceived(TargetState target, ResponseHead head, long sentAtMs) {
        String incarnation = target.incarnation();
        switch (head.limit()) {
            case AdvertisedLimit.PerSecond p -> limitReported(incarnation, p.perSecond());
            case AdvertisedLimit.None n -> {
                if (head.trusted()) {
                    limitNotReported(incarnation, sentAtMs);
                }
            }
            case AdvertisedLimit.Unreadable u ->
                LOG.warnf("target limit unreadable incarnation=%s text=\"%s\"", incarnation, u.text());
        }
    }

    private void limitReported(String incarnation, double perSecond) {
        if (placement.limitAdvertised(incarnation, perSecond, MonotonicClock.nowMs())) {
            metrics.event("targets.limited");
            LOG.infof("target limited incarnation=%s perSecond=%s", incarnation, perSecond);
            broadcastChange(new PeerMessage.LimitReport(incarnation, true, perSecond, 0));
        }
    }

    private void limitNotReported(String incarnation, long sentAtMs) {
        if (placement.limitNotAdvertised(incarnation, sentAtMs)) {
            LOG.infof("target limit over incarnation=%s", incarnation);
            broadcastChange(new PeerMessage.LimitReport(incarnation, false, 0, MonotonicClock.nowMs() - sentAtMs));
        }
    }

    private void broadcastChange(PeerMessage.LimitReport change) {
        broadcast.accept(new PeerMessage.TargetLimits(List.of(change)));
    }

    /** Applies limits reported to another router. */
    void receive(PeerMessage.TargetLimits message) {
        long nowMs = MonotonicClock.nowMs();
        for (PeerMessage.LimitReport l : message.limits()) {
            long atMs = nowMs - l.agoMs();
            boolean changed = l.advertised()
                    ? placement.limitAdvertised(l.incarnation(), l.perSecond(), atMs)
                    : placement.limitNotAdvertised(l.incarnation(), atMs);
            if (changed) {
                LOG.infof(
                        "target limit heard incarnation=%s named=%b perSecond=%s agoMs=%d",
                        l.incarnation(), l.advertised(), l.perSecond(), l.agoMs());
            }
        }
    }

    /** All known limits, for a router that may know of none. */
    PeerMessage.TargetLimits activeLimits() {
        long nowMs = MonotonicClock.nowMs();
        return new PeerMessage.TargetLimits(placement.limits().stream()
                .map(l -> new PeerMessage.LimitReport(l.incarnation(), true, l.perSecond(), nowMs - l.atMs()))
                .toList());
    }
}
