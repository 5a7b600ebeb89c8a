package org.onyxhinge.tools.fleet;

import java.util.List;
import java.util.function.Supplier;

import org.onyxhinge.core.engine.EngineRun;
import org.onyxhinge.core.engine.PromptPart;

/**
 * One request of a caller: sent once, retried once if it was refused and its deadline allows, and abandoned when no
 * event arrives for too long.
 */
final class SimCaller implements SimAttempt.Listener {

    /** Maximum delay before a retry, as a fraction of the time remaining until the deadline. */
    private static final double MAX_RETRY_DELAY_FRACTION = 1.0 / 3;

    /** One-way delay between a caller and its router. */
    private static final double ROUTER_DELAY_MS = 1;

    /** Weight of an output token relative to a prompt token in a request's size, as in the users' specifications. */
    private static final double OUTPUT_TOKEN_WEIGHT = 10;

    private final VirtualTime time;
    private final KindTally tally;
    private final RequestKind kind;
    private final int rank;
    private final int promptTokens;
    private final int outputTokens;
    private final int expectedTokens;
    private final Supplier<SimRouter> routerSupplier;
    /** The request's deadline as a fraction of its kind's deadline. */
    private final double deadlineFraction;

    private final double startedAtMs;
    private SimRouter currentRouter;
    private SimAttempt currentAttempt;
    private int attempts;
    private double lastEventAtMs;
    private double longestGapMs;
    private double firstEventAtMs = -1;
    private boolean ended;

    private SimCaller(
            VirtualTime time,
            KindTally tally,
            int rank,
            int promptTokens,
            int outputTokens,
            int expectedTokens,
            double deadlineFraction,
            Supplier<SimRouter> routerSupplier) {
        this.deadlineFraction = deadlineFraction;
        this.time = time;
        this.tally = tally;
        this.kind = tally.kind();
        this.rank = rank;
        this.promptTokens = promptTokens;
        this.outputTokens = outputTokens;
        this.expectedTokens = expectedTokens;
        this.routerSupplier = routerSupplier;
        this.startedAtMs = time.nowMs();
    }

    /**
     * Sends a request now.
     *
     * @param expectedTokens answer length stated by the caller; 0 for none
     * @param deadlineFraction deadline as a fraction of the kind's deadline
     * @param routerSupplier supplies the router for each attempt
     */
    static void start(
            VirtualTime time,
            KindTally tally,
            int rank,
            int promptTokens,
            int outputTokens,
            int expectedTokens,
            double deadlineFraction,
            Supplier<SimRouter> routerSupplier) {
        SimCaller caller = new SimCaller(
                time, tally, rank, promptTokens, outputTokens, expectedTokens, deadlineFraction, routerSupplier);
        tally.recordRequest(caller.size(), caller.afterWarmUp());
        tally.recordFirstAttempt(time.nowMs());
        caller.sendAttempt();
    }

    /** Returns the size relative to the mean of the kind, an output token counting as ten prompt tokens. */
    private double size() {
        double mean = kind.promptTokens() + OUTPUT_TOKEN_WEIGHT * kind.outputTokens();
        return (promptTokens + OUTPUT_TOKEN_WEIGHT * outputTokens) / mean;
    }

    private boolean afterWarmUp() {
        return startedAtMs >= LoadPattern.WARM_UP_MS;
    }

    private double remainingMs() {
        return startedAtMs + kind.deadlineMs() * deadlineFraction - time.nowMs();
    }

    private void sendAttempt() {
        attempts++;
        currentRouter = routerSupplier.get();
        lastEventAtMs = time.nowMs();
        EngineRun run = EngineRun.of(List.of(new PromptPart(time.eventsCreated(), promptTokens)), outputTokens);
        SimAttempt attempt = new SimAttempt(kind, rank, run, promptTokens, expectedTokens, (long) remainingMs(), this);
        currentAttempt = attempt;
        time.after(ROUTER_DELAY_MS, () -> currentRouter.submit(attempt));
        scheduleTimeoutCheck(attempt);
    }

    /** Abandons the attempt when the idle timeout or the deadline has passed. */
    private void scheduleTimeoutCheck(SimAttempt attempt) {
        double idleMs = time.nowMs() - lastEventAtMs;
        double timeoutMs = Math.min(kind.idleTimeoutMs() - idleMs, remainingMs());
        time.after(Math.max(1, timeoutMs), () -> {
            if (ended || currentAttempt != attempt) {
                return;
            }
            if (time.nowMs() - lastEventAtMs >= kind.idleTimeoutMs() || remainingMs() <= 0) {
                ended = true;
                currentRouter.cancel(attempt);
                tally.recordBroken();
            } else {
                scheduleTimeoutCheck(attempt);
            }
        });
    }

    @Override
    public void refused(double retryAfterMs) {
        tally.recordRefusal(time.nowMs() - lastEventAtMs);
        currentAttempt = null;
        double retryInMs = Math.min(retryAfterMs, remainingMs() * MAX_RETRY_DELAY_FRACTION) + 2 * ROUTER_DELAY_MS;
        if (attempts > 1 || retryInMs >= remainingMs()) {
            ended = true;
            tally.recordFinalRefusal(attempts > 1);
        } else {
            time.after(retryInMs, this::sendAttempt);
        }
    }

    @Override
    public void event() {
        double nowMs = time.nowMs() + ROUTER_DELAY_MS;
        if (firstEventAtMs < 0) {
            firstEventAtMs = nowMs;
        } else {
            longestGapMs = Math.max(longestGapMs, nowMs - lastEventAtMs);
        }
        lastEventAtMs = nowMs;
    }

    @Override
    public void completed() {
        ended = true;
        if (attempts == 1) {
            tally.recordFirstAttemptAnswered(startedAtMs);
        }
        boolean firstEventOnTime = firstEventAtMs - startedAtMs <= kind.targetLatencyMs();
        tally.recordAnswer(firstEventOnTime && longestGapMs <= kind.gapTargetMs(), size(), afterWarmUp());
    }

    @Override
    public void failed() {
        ended = true;
        tally.recordBroken();
    }
}
