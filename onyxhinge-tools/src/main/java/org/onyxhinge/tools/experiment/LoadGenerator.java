package org.onyxhinge.tools.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.onyxhinge.tools.demo.Target;
import org.onyxhinge.tools.load.WorkItem;

/**
 * Makes a synthetic workload by drawing requests from a sample workload, which keeps its tier mix and
 * its spread of sizes, at Poisson arrival times. The same seed gives the same workload.
 */
final class LoadGenerator {

    private static final double MS_PER_SECOND = 1_000.0;

    private LoadGenerator() {}

    /**
     * Requests a second of the sample's mix that keep the engines exactly busy: the smaller of what
     * their decoding and their prefill can carry. Plain services are not counted.
     */
    static double capacityPerSecond(List<Target> targets, List<WorkItem> sample) {
        double decode = 0;
        double prefill = 0;
        for (Target t : targets) {
            if (!t.plain()) {
                decode += (double) t.maxBatch() * t.decodeTokensPerSecond();
                prefill += t.prefillTokensPerSecond();
            }
        }
        double outTokens = 0;
        double promptTokens = 0;
        for (WorkItem item : sample) {
            if (!item.plain()) {
                outTokens += item.maxTokens();
                promptTokens += item.briefWords() + item.askWords();
            }
        }
        return Math.min(decode / (outTokens / sample.size()), prefill / (promptTokens / sample.size()));
    }

    /** Draws {@code seconds} of requests at the phase's rate; keys are made unique. */
    static List<WorkItem> draw(List<WorkItem> sample, double ratePerSecond, Scenario scenario, int seconds, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<WorkItem> out = new ArrayList<>();
        double atMs = 0;
        double endMs = seconds * MS_PER_SECOND;
        while (true) {
            double rate = ratePerSecond * scenario.rateFactorAt(atMs / endMs);
            atMs += random.nextExponential() * MS_PER_SECOND / rate;
            if (atMs >= endMs) {
                return out;
            }
            WorkItem item = sample.get(random.nextInt(sample.size()));
            out.add(item.copyAt((long) atMs, seed + "-" + out.size()));
        }
    }
}
