package org.onyxhinge.router.forward;

import java.util.Locale;

import org.jboss.logging.Logger;
import org.onyxhinge.core.limit.QuotaState;
import org.onyxhinge.core.place.WaitEstimate;
import org.onyxhinge.core.quarantine.RequestFingerprint;
import org.onyxhinge.core.route.WorkspaceAccess;

/** What is logged and counted of one call when it ends: one line, by its id. */
final class CallRecord {

    private static final Logger LOG = Logger.getLogger("call");
    private static final int PERCENT = 100;

    String requestId = "";
    /** What its caller asked for, whatever the id; {@link RequestFingerprint#NONE} before its body was read. */
    RequestFingerprint fingerprint = RequestFingerprint.NONE;

    String target = "";
    /** Calls at the target when it was last sent there, itself included, as far as was known. */
    int targetCalls;

    /** How long ago the configuration it was checked by had been confirmed; -1 when it was not checked. */
    long proofAgeMs = -1;

    /** Requests a second that the target's answer named as its limit; -1 for none. */
    double limitPerSecond = -1;

    long sentAfterMs = -1;
    long firstByteMs = -1;
    long longestGapMs;
    int sends;
    private final StringBuilder troubles = new StringBuilder();

    /** Notes trouble with a target or a limit, for the line. */
    void note(String where, String what) {
        if (troubles.length() > 0) {
            troubles.append("; ");
        }
        troubles.append(where).append(": ").append(what);
    }

    /** Notes why its workspace's quota did not allow it. */
    void quota(WorkspaceQuotas.Exceeded exceeded) {
        QuotaState state = exceeded.state();
        note(
                "quota",
                String.format(
                        Locale.ROOT,
                        "units=%d used=%d limit=%d level=%d heardPercent=%d",
                        exceeded.units(),
                        state.used(),
                        state.limit(),
                        state.level(),
                        Math.round(state.heardPart() * PERCENT)));
    }

    /** Notes the wait that it was refused for. */
    void queue(WaitEstimate estimate) {
        note(
                "queue",
                String.format(
                        Locale.ROOT,
                        "waitMs=%d ahead=%d freedPerSecond=%.1f urgentPerSecond=%.1f",
                        estimate.waitMs(),
                        estimate.ahead(),
                        estimate.freedPerSecond(),
                        estimate.urgentPerSecond()));
    }

    /**
     * Logs and counts the call.
     *
     * @param plan what was settled for it; null when its head was not allowed
     */
    void finish(Forwarder forwarder, CallPlan plan, long tookMs, String outcome, String why) {
        String routeName = plan == null ? "none" : plan.route().name();
        forwarder.metrics().ended(routeName, outcome);
        if (firstByteMs >= 0) {
            forwarder.metrics().firstByteMs(routeName, firstByteMs);
            forwarder.metrics().wholeMs(routeName, tookMs);
        }
        LOG.infof(
                "call id=%s fingerprint=%s outcome=%s why=\"%s\" route=%s workspace=%s rank=%d deadlineMs=%d"
                        + " promptTokens=%d maxOutputTokens=%d expectedOutputTokens=%d"
                        + " target=%s targetCalls=%d limitPerSecond=%s sends=%d"
                        + " sentAfterMs=%d firstByteMs=%d longestGapMs=%d tookMs=%d"
                        + " config=%d proofAgeMs=%d troubles=\"%s\"",
                requestId,
                fingerprint,
                outcome,
                why,
                routeName,
                plan == null ? "" : plan.workspace().map(WorkspaceAccess::name).orElse(""),
                plan == null ? -1 : plan.rank(),
                plan == null ? -1 : plan.head().deadlineMs(),
                plan == null ? -1 : plan.head().promptTokens(),
                plan == null ? -1 : plan.head().maxOutputTokens(),
                plan == null ? -1 : plan.head().expectedOutputTokens(),
                target,
                targetCalls,
                limitPerSecond,
                sends,
                sentAfterMs,
                firstByteMs,
                longestGapMs,
                tookMs,
                plan == null ? -1 : plan.config().version(),
                proofAgeMs,
                troubles);
    }
}
