package org.onyxhinge.tools.fleet;

import java.util.SplittableRandom;

/**
 * Distribution of the sizes of requests of one kind.
 *
 * @param promptSigma standard deviation of the natural logarithm of prompt lengths
 * @param outputSigma standard deviation of the natural logarithm of answer lengths
 * @param maxMultiple upper limit of a length, as a multiple of the mean
 * @param estimateSigma standard deviation of the natural logarithm of the ratio of stated to actual answer length;
 *     negative if callers state no expected length
 * @param sizeWorthFraction fraction of a request's worth that is proportional to its size
 */
record SizeDistribution(
        double promptSigma, double outputSigma, double maxMultiple, double estimateSigma, double sizeWorthFraction) {

    /** Upper limit of a request's worth, relative to the mean of its kind. */
    private static final double MAX_RELATIVE_WORTH = 4;

    /** Draws a prompt length from the distribution with the given mean. */
    int samplePrompt(int mean, SplittableRandom random) {
        return sample(mean, promptSigma, random);
    }

    /** Draws an answer length from the distribution with the given mean. */
    int sampleOutput(int mean, SplittableRandom random) {
        return sample(mean, outputSigma, random);
    }

    /** Draws the answer length that a caller states; 0 for none. */
    int sampleEstimate(int output, SplittableRandom random) {
        return estimateSigma < 0 ? 0 : (int) Math.max(1, output * Math.exp(random.nextGaussian() * estimateSigma));
    }

    /** Draws from a log-normal distribution with the given mean, limited to {@code maxMultiple} times the mean. */
    private int sample(int mean, double sigma, SplittableRandom random) {
        double size = mean * Math.exp(random.nextGaussian() * sigma - sigma * sigma / 2);
        return (int) Math.max(1, Math.min(size, mean * maxMultiple));
    }

    /** Returns the worth of a request of the given relative size, relative to the mean of its kind. */
    double worth(double size) {
        return Math.min(MAX_RELATIVE_WORTH, 1 - sizeWorthFraction + sizeWorthFraction * size);
    }
}
