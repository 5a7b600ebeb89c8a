package org.onyxhinge.router.forward;

import java.util.List;
import java.util.function.Consumer;

import org.jboss.logging.Logger;
import org.onyxhinge.core.place.AdvertisedLimit;
import org.onyxhinge.core.place.Placement;
import org.onyxhinge.core.place.TargetState;
import org.onyxhinge.wire.MonotonicClock;
import org.onyxhinge.wire.peer.PeerMessage;

/** The rate limits that targets name in their answers: what one router is told, all are told at once. */
final class LimitedTargets {

    private static final Logger LOG = Logger.getLogger(LimitedTargets.class);

    private final Placement placement;
    private final ForwardingMetrics metrics;
    private final Consumer<PeerMessage.BetweenRouters> tellAll;

    /**
     * Creates one that knows of no limit.
     *
     * @param tellAll tells every other router
     */
    LimitedTargets(Placement placement, ForwardingMetrics metrics, Consumer<PeerMessage.BetweenRouters> tellAll) {
        this.placement = placement;
        this.metrics = metrics;
        this.tellAll = tellAll;
    }

    /**
     * Takes in the head of a target's answer. One that may be another's, or a failure on the way, is no evidence that a
     * limit has ended.
     *
     * @param sentAtMs when the call was sent
     */
    void answered(TargetState target, AnswerHead head, long sentAtMs) {
        if (head.foreign()) {
            return;
        }
        String incarnation = target.incarnation();
        switch (head.limit()) {
            case AdvertisedLimit.PerSecond p -> named(incarnation, p.perSecond());
            case AdvertisedLimit.None n -> {
                if (head.trusted()) {
                    notNamed(incarnation, sentAtMs);
                }
            }
            case AdvertisedLimit.Unreadable u ->
                LOG.warnf("target limit unreadable incarnation=%s text=\"%s\"", incarnation, u.text());
        }
    }

    private void named(String incarnation, double perSecond) {
        if (placement.limitAdvertised(incarnation, perSecond, MonotonicClock.nowMs())) {
            metrics.event("targets.limited");
            LOG.infof("target limited incarnation=%s perSecond=%s", incarnation, perSecond);
            tell(new PeerMessage.LimitedAgo(incarnation, true, perSecond, 0));
        }
    }

    private void notNamed(String incarnation, long sentAtMs) {
        if (placement.limitNotAdvertised(incarnation, sentAtMs)) {
            LOG.infof("target limit over incarnation=%s", incarnation);
            tell(new PeerMessage.LimitedAgo(incarnation, false, 0, MonotonicClock.nowMs() - sentAtMs));
        }
    }

    private void tell(PeerMessage.LimitedAgo change) {
        tellAll.accept(new PeerMessage.TargetLimits(List.of(change)));
    }

    /** Takes in what another router was told. */
    void heard(PeerMessage.TargetLimits message) {
        long nowMs = MonotonicClock.nowMs();
        for (PeerMessage.LimitedAgo l : message.limits()) {
            long atMs = nowMs - l.agoMs();
            boolean news = l.named()
                    ? placement.limitAdvertised(l.incarnation(), l.perSecond(), atMs)
                    : placement.limitNotAdvertised(l.incarnation(), atMs);
            if (news) {
                LOG.infof(
                        "target limit heard incarnation=%s named=%b perSecond=%s agoMs=%d",
                        l.incarnation(), l.named(), l.perSecond(), l.agoMs());
            }
        }
    }

    /** Every limit that is known, for a router that may know of none. */
    PeerMessage.TargetLimits news() {
        long nowMs = MonotonicClock.nowMs();
        return new PeerMessage.TargetLimits(placement.limits().stream()
                .map(l -> new PeerMessage.LimitedAgo(l.incarnation(), true, l.perSecond(), nowMs - l.atMs()))
                .toList());
    }
}
