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
 * {@code capacity decisions}: runs the JMH benchmarks behind the capacity page, writes their results as
 * CSV, and fails when one is past its bound in the bounds file, which the page's figures rely on.
 */
@Command(name = "decisions", description = "Measure the cost of decisions and messages, and check their bounds")
public final class DecisionsCommand implements Runnable {

    private static final String SECTION = "microseconds";

    @Option(name = "--bounds", title = "FILE", description = "bounds file (default config/capacity-bounds.ini)")
    private String bounds = "config/capacity-bounds.ini";

    @Option(name = "--out", title = "DIR", description = "where the results go (default out/capacity)")
    private String out = "out/capacity";

    @Override
    public void run() {
        try {
            Files.createDirectories(Path.of(out));
            Map<String, Double> scores = scores(benchmarks());
            Profile.Section limits = new Ini(Path.of(bounds).toFile()).get(SECTION);
            if (!check(scores, limits)) {
                Launch.fail(Launch.EXIT_FAILURE, "a slope that docs/CAPACITY.md relies on is past its bound");
            }
        } catch (IOException | RunnerException | IllegalArgumentException e) {
            Launch.fail(Launch.EXIT_FAILURE, e.getMessage());
        }
    }

    private Collection<RunResult> benchmarks() throws RunnerException {
        return new Runner(new OptionsBuilder()
                        .include(SchedulerBenchmark.class.getSimpleName())
                        .include(PeerCodecBenchmark.class.getSimpleName())
                        .include(PlacementBenchmark.class.getSimpleName())
                        .include(QuarantineBenchmark.class.getSimpleName())
                        .forks(1)
                        .warmupIterations(2)
                        .warmupTime(TimeValue.seconds(1))
                        .measurementIterations(3)
                        .measurementTime(TimeValue.seconds(1))
                        .resultFormat(ResultFormatType.CSV)
                        .result(Path.of(out, "decisions.csv").toString())
                        .build())
                .run();
    }

    private static Map<String, Double> scores(Collection<RunResult> results) {
        Map<String, Double> scores = new TreeMap<>();
        for (RunResult r : results) {
            scores.put(name(r.getParams()), r.getPrimaryResult().getScore());
        }
        return scores;
    }

    /** For example {@code SchedulerBenchmark.tick engines-4 queued-0}. */
    private static String name(BenchmarkParams params) {
        String[] parts = params.getBenchmark().split("\\.");
        StringBuilder name = new StringBuilder(parts[parts.length - 2] + "." + parts[parts.length - 1]);
        for (String key : params.getParamsKeys()) {
            name.append(' ').append(key).append('-').append(params.getParam(key));
        }
        return name.toString();
    }

    private static boolean check(Map<String, Double> scores, Profile.Section limits) {
        boolean within = true;
        for (Map.Entry<String, Double> score : scores.entrySet()) {
            String limit = limits == null ? null : limits.get(score.getKey());
            boolean past = limit != null && score.getValue() > Double.parseDouble(limit);
            within &= !past;
            System.out.printf(
                    "%-55s %9.3f us  bound %s%s%n",
                    score.getKey(), score.getValue(), limit == null ? "none" : limit, past ? "  PAST" : "");
        }
        return within;
    }
}
