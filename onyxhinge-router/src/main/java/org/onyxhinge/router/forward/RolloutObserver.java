package org.onyxhinge.router.forward;

import java.util.function.Consumer;

import org.onyxhinge.core.rollout.UsualTime;

/**
 * Judges one attempt during a rollout: an answer is bad if it failed, or if its first byte or its stream took several
 * times as long as usual. Slowness is reported as soon as it shows.
 */
final class RolloutObserver implements AnswerObserver {

    /** Reads of a stream after which its pace is judged. */
    private static final int PACE_READS = 8;

    /** A shorter stream has no pace worth judging. */
    private static final int MIN_PACE_READS = 3;

    private final Usual usual;
    private final boolean trial;
    private final double prefillMs;
    private final Consumer<Boolean> judged;
    private long firstReadAtMs = -1;
    private long lastReadAtMs;
    private int reads;
    private boolean slow;
    private boolean paceJudged;
    private boolean reported;
    private boolean reportedBad;

    /**
     * Times of the versions in use, on one route.
     *
     * @param firstByte time to the first byte in ms
     * @param pace time between two reads of a stream in ms
     */
    record Usual(UsualTime firstByte, UsualTime pace) {

        static Usual create() {
            return new Usual(UsualTime.create(), UsualTime.create());
        }
    }

    /**
     * Creates the observer of an attempt.
     *
     * @param trial whether the target runs the version on trial
     * @param prefillMs time to read the whole prompt, which a target does that has nothing of it in its cache
     * @param judged receives true if the answer is bad and false if it is good; a stream that was good so far and then
     *     breaks off is reported a second time
     */
    RolloutObserver(Usual usual, boolean trial, double prefillMs, Consumer<Boolean> judged) {
        this.usual = usual;
        this.trial = trial;
        this.prefillMs = prefillMs;
        this.judged = judged;
    }

    @Override
    public void firstByte(long tookMs, long unreadMs) {
        slow = judgeTime(usual.firstByte(), tookMs, prefillMs, unreadMs);
        if (slow) {
            report(true);
        }
    }

    private boolean judgeTime(UsualTime usualTime, double ms, double allowanceMs, double unreadMs) {
        boolean isSlow = usualTime.isSlow(ms - unreadMs, allowanceMs);
        if (!trial) {
            usualTime.sample(ms);
        }
        return isSlow;
    }

    @Override
    public void streamBytes(long atMs) {
        if (firstReadAtMs < 0) {
            firstReadAtMs = atMs;
        }
        lastReadAtMs = atMs;
        reads++;
        if (reads == PACE_READS) {
            judgePace();
            report(slow);
        }
    }

    @Override
    public void notRead(long ms) {
        if (firstReadAtMs >= 0) {
            firstReadAtMs += ms;
        }
    }

    private void judgePace() {
        if (reads >= MIN_PACE_READS && !paceJudged) {
            paceJudged = true;
            slow |= judgeTime(usual.pace(), (double) (lastReadAtMs - firstReadAtMs) / (reads - 1), 0, 0);
        }
    }

    @Override
    public void ended(boolean success) {
        judgePace();
        report(slow || !success);
    }

    @Override
    public void failed() {
        if (!reportedBad) {
            reported = false;
            report(true);
        }
    }

    private void report(boolean bad) {
        if (!reported) {
            reported = true;
            reportedBad = bad;
            judged.accept(bad);
        }
    }
}
