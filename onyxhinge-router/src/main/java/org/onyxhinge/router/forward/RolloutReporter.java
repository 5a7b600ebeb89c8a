package org.onyxhinge.router.forward;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.onyxhinge.core.rollout.AnswerCell;
import org.onyxhinge.core.rollout.AnswerCount;
import org.onyxhinge.core.rollout.Rollout;
import org.onyxhinge.core.rollout.RolloutPhase;
import org.onyxhinge.wire.peer.PeerMessage;

/** Reports what this router counts during rollouts to the routers that decide. */
final class RolloutReporter {

    private static final long INTERVAL_MS = 250;

    /** Interval while all calls go to a new version, whose failure then meets all callers. */
    private static final long PROMOTED_INTERVAL_MS = 100;

    /** Every so many reports all counts are sent again, since a report may have been lost. */
    private static final int FULL_REPORT_EVERY = 4;

    /** Number of routers that are reported to: those with the lowest ids. More than one, so that one may fail. */
    private static final int RECEIVERS = 3;

    private final Forwarder forwarder;
    private final Map<AnswerCell, AnswerCount> lastReported = new HashMap<>();
    private long lastReportAtMs;
    private int reportNumber;

    RolloutReporter(Forwarder forwarder) {
        this.forwarder = forwarder;
    }

    /** Whether the other routers report to this one. */
    boolean isReceiver() {
        return forwarder.peers().lowestLiveIds(RECEIVERS).size() < RECEIVERS;
    }

    /** Sends the reports that are due. */
    void report(Collection<ServiceRollout> services, long nowMs) {
        boolean promoting = services.stream()
                .anyMatch(s -> s.active()
                        .filter(r -> r.phase() == RolloutPhase.PROMOTING)
                        .isPresent());
        if (nowMs - lastReportAtMs < (promoting ? PROMOTED_INTERVAL_MS : INTERVAL_MS)) {
            return;
        }
        lastReportAtMs = nowMs;
        boolean full = reportNumber++ % FULL_REPORT_EVERY == 0;
        for (ServiceRollout s : services) {
            s.active().ifPresent(r -> send(s, r, full, nowMs));
        }
    }

    private void send(ServiceRollout s, Rollout r, boolean full, long nowMs) {
        PeerMessage.RolloutReport report = new PeerMessage.RolloutReport(
                forwarder.routerId(),
                forwarder.peers().startId(),
                s.service(),
                r.order().id(),
                r.phase(),
                r.ageMs(nowMs),
                forwarder.calls().countOnReplaced(s.service()),
                full ? allAnswers(r) : newAnswers(r));
        forwarder
                .peers()
                .lowestLiveIds(RECEIVERS)
                .forEach(id -> forwarder.peers().sendBestEffort(id, report));
    }

    private static List<PeerMessage.AnswerReport> allAnswers(Rollout r) {
        return r.ownCounts().entrySet().stream()
                .map(e -> new PeerMessage.AnswerReport(e.getKey(), e.getValue()))
                .toList();
    }

    private List<PeerMessage.AnswerReport> newAnswers(Rollout r) {
        List<PeerMessage.AnswerReport> out = new ArrayList<>();
        r.ownCounts().forEach((cell, count) -> {
            if (!count.equals(lastReported.put(cell, count))) {
                out.add(new PeerMessage.AnswerReport(cell, count));
            }
        });
        return out;
    }
}
