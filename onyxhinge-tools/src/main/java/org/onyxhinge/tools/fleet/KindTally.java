package org.onyxhinge.tools.fleet;

import java.util.ArrayList;
import java.util.List;

/** Counts outcomes of one kind of request; a request counts once, however often it is retried. */
final class KindTally {

    /**
     * Threshold for about the largest tenth of a kind, in multiples of the mean size. The prompt contributes most to
     * the size, although an output token counts as ten prompt tokens.
     */
    private static final double LARGE_REQUEST_SIZE = 2;

    private final RequestKind kind;
    private final SizeDistribution sizes;
    private int refusals;
    private double refusalWaitMs;
    private double earnedWorth;
    private double possibleWorth;
    private int largeAnswered;
    private int asked;
    private int largeAsked;
    private int largeOnTime;
    private int onTime;
    private int late;
    private int refused;
    private int broken;
    private int refusedTwice;
    private int askedAfterWarmUp;
    private int answeredAfterWarmUp;
    private final List<Double> firstAttemptsAtMs = new ArrayList<>();
    private final List<Double> answeredFirstAttemptsAtMs = new ArrayList<>();

    KindTally(RequestKind kind, SizeDistribution sizes) {
        this.kind = kind;
        this.sizes = sizes;
    }

    /**
     * Records a complete answer.
     *
     * @param size combined size of prompt and output relative to the mean of the kind
     * @param afterWarmUp whether the request was sent after the warm-up
     */
    void recordAnswer(boolean inTime, double size, boolean afterWarmUp) {
        answeredAfterWarmUp += afterWarmUp ? 1 : 0;
        largeAnswered += size >= LARGE_REQUEST_SIZE ? 1 : 0;
        earnedWorth += sizes.worth(size) * (inTime ? kind.worth() : kind.lateWorth());
        if (inTime) {
            onTime++;
            largeOnTime += size >= LARGE_REQUEST_SIZE ? 1 : 0;
        } else {
            late++;
        }
    }

    /** Records the first attempt of a request, with its relative size and whether it was sent after the warm-up. */
    void recordRequest(double size, boolean afterWarmUp) {
        asked++;
        possibleWorth += sizes.worth(size) * kind.worth();
        askedAfterWarmUp += afterWarmUp ? 1 : 0;
        largeAsked += size >= LARGE_REQUEST_SIZE ? 1 : 0;
    }

    /** Returns the fraction of large requests that were answered on time. */
    double largeOnTimeFraction() {
        return largeAsked == 0 ? 1 : (double) largeOnTime / largeAsked;
    }

    void recordFirstAttempt(double atMs) {
        firstAttemptsAtMs.add(atMs);
    }

    /** Records that the first attempt of a request, sent at a given time, was answered completely. */
    void recordFirstAttemptAnswered(double sentAtMs) {
        answeredFirstAttemptsAtMs.add(sentAtMs);
    }

    /** Returns the number of first attempts sent in a time span. */
    int firstAttempts(double fromMs, double untilMs) {
        return countBetween(firstAttemptsAtMs, fromMs, untilMs);
    }

    /** Returns how many of those were answered completely. */
    int answeredFirstAttempts(double fromMs, double untilMs) {
        return countBetween(answeredFirstAttemptsAtMs, fromMs, untilMs);
    }

    private static int countBetween(List<Double> timesMs, double fromMs, double untilMs) {
        return (int) timesMs.stream().filter(at -> at >= fromMs && at < untilMs).count();
    }

    /** Records a refused attempt and how long it had waited. */
    void recordRefusal(double waitedMs) {
        refusals++;
        refusalWaitMs += waitedMs;
    }

    /** Returns the number of refused attempts, retries included. */
    int refusals() {
        return refusals;
    }

    /** Returns the total time that refused attempts had waited. */
    double refusalWaitMs() {
        return refusalWaitMs;
    }

    /** Returns the worth earned by the answers. */
    double earnedWorth() {
        return earnedWorth;
    }

    /** Returns the worth of answering every request on time. */
    double possibleWorth() {
        return possibleWorth;
    }

    /** Returns the answered fraction of large requests divided by that of all requests of the kind. */
    double largeAnsweredRatio() {
        int answered = onTime + late;
        return largeAsked == 0 || answered == 0 ? 1 : (double) largeAnswered * asked / largeAsked / answered;
    }

    /** Records a request that is not retried any more; {@code retried} if it had been retried. */
    void recordFinalRefusal(boolean retried) {
        refused++;
        refusedTwice += retried ? 1 : 0;
    }

    /** Records a request whose answer was interrupted or that its caller abandoned. */
    void recordBroken() {
        broken++;
    }

    RequestKind kind() {
        return kind;
    }

    int asked() {
        return asked;
    }

    int onTime() {
        return onTime;
    }

    int late() {
        return late;
    }

    /** Returns the number of requests sent after the warm-up. */
    int askedAfterWarmUp() {
        return askedAfterWarmUp;
    }

    /** Returns how many of those were answered completely, on time or late. */
    int answeredAfterWarmUp() {
        return answeredAfterWarmUp;
    }

    int refused() {
        return refused;
    }

    int refusedTwice() {
        return refusedTwice;
    }

    int broken() {
        return broken;
    }
}
