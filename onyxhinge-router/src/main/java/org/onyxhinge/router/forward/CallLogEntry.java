package org.onyxhinge.router.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import org.jboss.logging.Logger;
import org.onyxhinge.core.limit.QuotaState;
import org.onyxhinge.core.place.AdvertisedLimit;
import org.onyxhinge.core.place.WaitEstimate;
import org.onyxhinge.core.quarantine.Fingerprint;
import org.onyxhinge.core.route.WorkspaceAccess;
import org.onyxhinge.router.connection.TargetConnection;

/** The log line and the metrics of one call, written when it ends. */
final class CallLogEntry {

    private static final Logger LOG = Logger.getLogger("call");
    private static final int PERCENT = 100;
    private static final int MAX_ID_LENGTH = 64;

    String requestId = "";
    /**
     * Identifies what the caller asked for, independent of the request id; {@link Fingerprint#NONE} until the
     * body has been read.
     */
    Fingerprint fingerprint = Fingerprint.NONE;

    /** Version that began the stream which the caller resumes, and how that is known. */
    String origin = "";

    String target = "";
    /** Software version of the target, as registered when the call was sent. */
    String targetVersion = "";
    /** Known number of calls at the target when the call was last sent there, including this one. */
    int targetCalls;

    /** Rank that the call was queued with; more urgent than its own if it was promoted, -1 if it was not submitted. */
    int queuedRank = -1;

    /** How long the request may have lain unread before its head was read, since the event loop was late. */
    long unreadMs;

    /** Version of the configuration that the call was checked against; -1 if it was not checked. */
    long configVersion = -1;

    /** Age of the configuration's confirmation when the call was checked; -1 if it was not checked. */
    long confirmationAgeMs = -1;

    /** Age of the list of targets when the call was last sent, and by which way it was read; -1 if it was not sent. */
    long targetListAgeMs = -1;

    String targetListBy = "";

    /** Rate limit in requests per second that the target reported; -1 if none. */
    double limitPerSecond = -1;

    /** Whether a target that responded announced its shutdown. */
    boolean targetLeaving;

    /** Longest pause that a target asked for when it refused the call; 0 if none did. */
    long targetRetryAfterMs;

    /** Delay after which a refused caller was promised a slot; -1 if it was promised none. */
    long scheduledRetryMs = -1;

    /** What the id in the last response says of the call; empty if there was no response. */
    private String responseId = "";

    /** Number of responses to other calls that came before the call's own, and the ids that the first ones named. */
    private int skippedResponses;

    private final List<String> skippedIds = new ArrayList<>();

    /** The connection of the last attempt; -1 if the call was not sent. */
    private long connectionNumber = -1;

    /** Number of calls that the connection had carried then, including this one. */
    private int connectionCalls;

    long sentAfterMs = -1;
    long firstByteMs = -1;
    long longestGapMs;
    int sends;
    private final StringBuilder troubles = new StringBuilder();
    private final StringBuilder moves = new StringBuilder();

    /** Records the connection of an attempt that has ended, and what came on it beside the call's own response. */
    void connection(TargetConnection connection) {
        connectionNumber = connection.number();
        connectionCalls = connection.calls();
        skippedResponses += connection.skippedResponses();
        connection.skippedIds().forEach(id -> skippedIds.add(loggable(id)));
    }

    /** An id as far as a log line can hold it. */
    private static String loggable(String id) {
        String printable = id.replaceAll("[^\\w.:,-]", "?");
        return printable.substring(0, Math.min(MAX_ID_LENGTH, printable.length()));
    }

    /** Records which response the call got last, and what it says about the target itself. */
    void response(ResponseHead head) {
        responseId = head.identity().text();
        targetLeaving |= head.leaving();
        targetRetryAfterMs = Math.max(targetRetryAfterMs, head.retryAfterMs());
        switch (head.limit()) {
            case AdvertisedLimit.None n -> limitPerSecond = -1;
            case AdvertisedLimit.PerSecond p -> limitPerSecond = p.perSecond();
            case AdvertisedLimit.Unreadable u -> addTrouble("limit", "unreadable " + u.text());
        }
    }

    /** Adds a problem with a target or a limit to the log line. */
    void addTrouble(String where, String what) {
        if (troubles.length() > 0) {
            troubles.append("; ");
        }
        troubles.append(where).append(": ").append(what);
    }

    /**
     * Adds that the call was to be moved from one target to another.
     *
     * @param why why it was to be moved
     * @param outcome what became of it
     * @param tookMs time from the decision to the outcome
     */
    void addMove(String from, String to, String why, String outcome, long tookMs) {
        if (moves.length() > 0) {
            moves.append("; ");
        }
        moves.append(String.format(Locale.ROOT, "%s to %s: %s: %s after %d ms", from, to, why, outcome, tookMs));
    }

    /** Adds the state of the workspace's quota that refused the call. */
    void quotaExceeded(WorkspaceQuotas.Exceeded exceeded) {
        QuotaState state = exceeded.state();
        addTrouble(
                "quota",
                String.format(
                        Locale.ROOT,
                        "units=%d used=%d limit=%d level=%d heardPercent=%d waitMs=%d",
                        exceeded.units(),
                        state.used(),
                        state.limit(),
                        state.level(),
                        Math.round(state.heardPart() * PERCENT),
                        exceeded.waitMs()));
    }

    /** Adds that the call's workspace has used more than its share of the service's slots. */
    void aboveShare() {
        addTrouble("share", "above");
    }

    /** Adds the wait estimate that the call was refused for. */
    void queueWait(WaitEstimate estimate) {
        addTrouble(
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
     * @param plan the call's plan; null if its head was not accepted
     */
    void write(Forwarder forwarder, CallPlan plan, long tookMs, String outcome, String why) {
        String routeName =
                plan == null ? ForwardingMetrics.NO_ROUTE : plan.route().name();
        forwarder.metrics().callEnded(routeName, outcome);
        if (firstByteMs >= 0 && plan != null) {
            forwarder.metrics().firstByteMs(plan.service(), firstByteMs);
            forwarder.metrics().completionMs(plan.service(), tookMs);
        }
        LOG.infof(
                "call id=%s fingerprint=%s outcome=%s why=\"%s\" route=%s workspace=%s rank=%d queuedRank=%d"
                        + " deadlineMs=%d promptTokens=%d promptParts=%s maxOutputTokens=%d expectedOutputTokens=%d"
                        + " resumedAfter=%s originAttempt=%s origin=%s target=%s targetVersion=%s targetCalls=%d"
                        + " limitPerSecond=%s targetLeaving=%b targetRetryAfterMs=%d sends=%d"
                        + " responseId=%s connection=%d connectionCalls=%d skipped=%d skippedIds=\"%s\""
                        + " unreadMs=%d sentAfterMs=%d firstByteMs=%d longestGapMs=%d tookMs=%d"
                        + " config=%d proofAgeMs=%d targetListAgeMs=%d targetListBy=%s"
                        + " scheduledRetryMs=%d moves=\"%s\" troubles=\"%s\"",
                requestId,
                fingerprint,
                outcome,
                why,
                routeName,
                plan == null ? "" : plan.workspace().map(WorkspaceAccess::name).orElse(""),
                plan == null ? -1 : plan.rank(),
                queuedRank,
                plan == null ? -1 : plan.head().deadlineMs(),
                plan == null ? -1 : plan.head().promptTokens(),
                plan == null ? "" : String.join(",", plan.head().promptParts().shared()),
                plan == null ? -1 : plan.head().maxOutputTokens(),
                plan == null ? -1 : plan.head().expectedOutputTokens(),
                plan == null ? "" : plan.head().lastEventId().orElse(""),
                plan == null ? "" : plan.head().originAttemptId().orElse(""),
                origin,
                target,
                targetVersion,
                targetCalls,
                limitPerSecond,
                targetLeaving,
                targetRetryAfterMs,
                sends,
                responseId,
                connectionNumber,
                connectionCalls,
                skippedResponses,
                String.join(",", skippedIds),
                unreadMs,
                sentAfterMs,
                firstByteMs,
                longestGapMs,
                tookMs,
                configVersion,
                confirmationAgeMs,
                targetListAgeMs,
                targetListBy,
                scheduledRetryMs,
                moves,
                troubles);
    }
}
