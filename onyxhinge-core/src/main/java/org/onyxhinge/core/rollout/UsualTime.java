package org.onyxhinge.core.rollout;

import java.util.Arrays;

/**
 * The median, in ms, of the last times that the versions in use took. Recognises answers that take several times as
 * long.
 */
public final class UsualTime {

    private static final int SAMPLES = 25;
    private static final int MIN_SAMPLES = 5;

    /** Targets of different hardware differ by up to this factor, whatever their version. */
    private static final double SLOW_FACTOR = 4;

    /** Callers do not notice a smaller difference, and a short time varies by a multiple. */
    private static final double MIN_DIFFERENCE_MS = 20;

    private final double[] samples = new double[SAMPLES];
    private int count;
    private double median;

    private UsualTime() {}

    /** Creates an instance without samples. */
    public static UsualTime create() {
        return new UsualTime();
    }

    /** Adds a time of a version in use. */
    public void sample(double value) {
        samples[count % SAMPLES] = value;
        count++;
        double[] sorted = Arrays.copyOf(samples, Math.min(count, SAMPLES));
        Arrays.sort(sorted);
        median = sorted[sorted.length / 2];
    }

    /**
     * Whether a time is several times the usual one; false while too few are known.
     *
     * @param allowance time that may come on top of the usual one for reasons other than the version
     */
    public boolean isSlow(double value, double allowance) {
        double usual = median + allowance;
        return count >= MIN_SAMPLES && value > SLOW_FACTOR * usual && value > usual + MIN_DIFFERENCE_MS;
    }
}
