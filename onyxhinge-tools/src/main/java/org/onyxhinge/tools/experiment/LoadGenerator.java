package org.onyxhinge.tools.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.onyxhinge.tools.demo.Target;
import org.onyxhinge.tools.load.WorkItem;

/**
 * Generates a synthetic workload with Poisson arrivals. Requests are sampled with replacement from a sample workload,
 * which preserves its tier mix and size distribution. The same seed produces the same workload.
 */
final class LoadGenerator {

    private static final double MS_PER_SECOND = 1_000.0;

    private LoadGenerator() {}

    /**
     * Estimates the request rate, in the sample's mix, that saturates the engines: the lower of their decode and
     * prefill throughput. Plain services are not counted.
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
        double outputTokens = 0;
        double promptTokens = 0;
        for (WorkItem item : sample) {
            if (!item.plain()) {
                outputTokens += item.maxTokens();
                promptTokens += item.systemPromptWords() + item.userPromptWords();
            }
        }
        return Math.min(decode / (outputTokens / sample.size()), prefill / (promptTokens / sample.size()));
    }

    /** Generates requests for {@code seconds} at the scenario's rate, with unique idempotency keys. */
    static List<WorkItem> generate(
            List<WorkItem> sample, double ratePerSecond, Scenario scenario, int seconds, long seed) {
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
