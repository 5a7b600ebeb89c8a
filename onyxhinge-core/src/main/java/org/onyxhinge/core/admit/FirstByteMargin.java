package org.onyxhinge.core.admit;

import java.util.IdentityHashMap;
import java.util.Map;

/**
 * By which factor first bytes take longer than predicted: a high quantile of the ratio of the observed to the predicted
 * time, over the recent calls of a service. A call sent when only the predicted time is left is late about half of the
 * time.
 *
 * <p>Not thread-safe: confined to one thread.
 */
public final class FirstByteMargin {

    /** Fraction of the calls whose first byte arrives within the predicted time multiplied by the factor. */
    private static final double QUANTILE = 0.8;

    /** Step of the estimate on a logarithmic scale; it follows a change within some tens of calls. */
    private static final double STEP = 0.05;

    /** The factor stays below this: predictions of single targets may be wrong by any factor after a disturbance. */
    private static final double MAX_FACTOR = 3;

    private final Map<Object, Double> predictedMs = new IdentityHashMap<>();
    private double logFactor;

    private FirstByteMargin() {}

    /** Creates an instance with the factor 1. */
    public static FirstByteMargin create() {
        return new FirstByteMargin();
    }

    /** Records the prediction for a call that is sent. */
    public void sent(Object call, double predicted) {
        predictedMs.put(call, predicted);
    }

    /** Records the time from sending a call to its first byte. */
    public void firstByte(Object call, double tookMs) {
        Double predicted = predictedMs.remove(call);
        if (predicted != null && predicted > 0) {
            boolean above = tookMs > predicted * factor();
            double next = logFactor + STEP * (above ? QUANTILE : QUANTILE - 1);
            logFactor = Math.max(0, Math.min(Math.log(MAX_FACTOR), next));
        }
    }

    /** Forgets a call that has ended. */
    public void ended(Object call) {
        predictedMs.remove(call);
    }

    /** The factor, at least 1. */
    public double factor() {
        return Math.exp(logFactor);
    }
}
