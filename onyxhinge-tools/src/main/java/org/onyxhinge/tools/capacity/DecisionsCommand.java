package org.onyxhinge.tools.capacity;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import org.ini4j.Ini;
import org.ini4j.Profile;
import org.onyxhinge.runtime.Launch;
import org.openjdk.jmh.infra.BenchmarkParams;
import org.openjdk.jmh.results.RunResult;
import org.openjdk.jmh.results.format.ResultFormatType;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.TimeValue;

/**
 * {@code capacity decisions}: runs the JMH benchmarks that docs/CAPACITY.md is based on, writes their results as
 * CSV, and fails when a result exceeds its bound in the bounds file, because that page's figures rely on the bounds.
 */
@Command(name = "decisions", description = "Measure the cost of decisions and messages, and check their bounds")
public final class DecisionsCommand implements Runnable {

    private static final String BOUNDS_SECTION = "microseconds";

    @Option(name = "--bounds", title = "FILE", description = "bounds file (default config/capacity-bounds.ini)")
    private String boundsFile = "config/capacity-bounds.ini";

    @Option(name = "--out", title = "DIR", description = "output directory (default out/capacity)")
    private String outputDir = "out/capacity";

    @Override
    public void run() {
        try {
            Files.createDirectories(Path.of(outputDir));
            Map<String, Double> scores = scores(runBenchmarks());
            Profile.Section bounds = new Ini(Path.of(boundsFile).toFile()).get(BOUNDS_SECTION);
            if (!checkBounds(scores, bounds)) {
                Launch.fail(Launch.EXIT_FAILURE, "a benchmark that docs/CAPACITY.md relies on exceeded its bound");
            }
        } catch (IOException | RunnerException | IllegalArgumentException e) {
            Launch.fail(Launch.EXIT_FAILURE, e.getMessage());
        }
    }

    private Collection<RunResult> runBenchmarks() throws RunnerException {
        return new Runner(new OptionsBuilder()
                        .include(SchedulerBenchmark.class.getSimpleName())
                        .include(PeerCodecBenchmark.class.getSimpleName())
                        .include(PlacementBenchmark.class.getSimpleName())
                        .include(QuarantineBenchmark.class.getSimpleName())
                        .include(ReadBarrierBenchmark.class.getSimpleName())
                        .forks(1)
                        .warmupIterations(2)
                        .warmupTime(TimeValue.seconds(1))
                        .measurementIterations(3)
                        .measurementTime(TimeValue.seconds(1))
                        .resultFormat(ResultFormatType.CSV)
                        .result(Path.of(outputDir, "decisions.csv").toString())
                        .build())
                .run();
    }

    private static Map<String, Double> scores(Collection<RunResult> results) {
        Map<String, Double> scores = new TreeMap<>();
        for (RunResult r : results) {
            scores.put(benchmarkKey(r.getParams()), r.getPrimaryResult().getScore());
        }
        return scores;
    }

    /** Returns the key in the bounds file, such as {@code SchedulerBenchmark.tick engines-4 queued-0}. */
    private static String benchmarkKey(BenchmarkParams params) {
        String[] parts = params.getBenchmark().split("\\.");
        StringBuilder name = new StringBuilder(parts[parts.length - 2] + "." + parts[parts.length - 1]);
        for (String key : params.getParamsKeys()) {
            name.append(' ').append(key).append('-').append(params.getParam(key));
        }
        return name.toString();
    }

    private static boolean checkBounds(Map<String, Double> scores, Profile.Section bounds) {
        boolean allWithinBounds = true;
        for (Map.Entry<String, Double> score : scores.entrySet()) {
            String bound = bounds == null ? null : bounds.get(score.getKey());
            boolean exceeded = bound != null && score.getValue() > Double.parseDouble(bound);
            allWithinBounds &= !exceeded;
            System.out.printf(
                    "%-55s %9.3f us  bound %s%s%n",
                    score.getKey(), score.getValue(), bound == null ? "none" : bound, exceeded ? "  EXCEEDED" : "");
        }
        return allWithinBounds;
    }
}
