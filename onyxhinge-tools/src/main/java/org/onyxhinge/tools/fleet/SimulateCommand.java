package org.onyxhinge.tools.fleet;

import java.io.IOException;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.IntStream;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVPrinter;
import org.onyxhinge.runtime.Launch;
import org.onyxhinge.runtime.Settings;

/**
 * {@code load simulate}: simulates a site in virtual time and compares policies under load patterns, with the same
 * requests for each policy. Prints a table and writes the results as CSV and as a plot.
 */
@Command(name = "simulate", description = "Compare placement policies on a simulated fleet")
public final class SimulateCommand implements Runnable {

    private static final int MAX_SEEDS = 1_000;
    private static final int MAX_ROUTERS = 2_000;
    private static final CSVFormat CSV = CSVFormat.DEFAULT
            .builder()
            .setRecordSeparator("\n")
            .setHeader(
                    "pattern",
                    "policy",
                    "seed",
                    "kind",
                    "asked",
                    "on_time",
                    "late",
                    "refused",
                    "refused_twice",
                    "broken",
                    "most_at_once")
            .get();

    @Option(
            name = {"-s", "--site"},
            title = "FILE",
            description = "the site's INI file (default examples/kingston/fleet.ini)")
    private String site = "examples/kingston/fleet.ini";

    @Option(name = "--patterns", title = "LIST", description = "comma-separated load patterns (default all)")
    private String patterns = String.join(",", LoadPattern.labels());

    @Option(name = "--policies", title = "LIST", description = "comma-separated policies (default all)")
    private String policies =
            String.join(",", FleetPolicy.all().stream().map(FleetPolicy::label).toList());

    @Option(name = "--seeds", title = "N", description = "run with the seeds 1 to N (default 5)")
    private int seeds = 5;

    @Option(
            name = "--routers",
            title = "N",
            description =
                    "simulate N routers, with engines and requests scaled in proportion (default as in the site file)")
    private int routers;

    @Option(name = "--out", title = "DIR", description = "output directory (default out/simulate)")
    private String out = "out/simulate";

    @Override
    public void run() {
        try {
            FleetSpec spec = Settings.load(Path.of(site))
                    .flatMap(FleetSpec::read)
                    .map(siteSpec -> routers == 0 ? siteSpec : siteSpec.scaledTo(routers))
                    .getOrElseThrow(e -> new IllegalArgumentException(e.getMessage()));
            if (routers < 0 || routers > MAX_ROUTERS) {
                throw new IllegalArgumentException("--routers must be 1.." + MAX_ROUTERS);
            }
            if (seeds < 1 || seeds > MAX_SEEDS) {
                throw new IllegalArgumentException("--seeds must be 1.." + MAX_SEEDS);
            }
            List<FleetPolicy> selectedPolicies = select(
                    "--policies",
                    policies,
                    label -> FleetPolicy.all().stream()
                            .filter(p -> p.label().equals(label))
                            .findFirst());
            List<FleetSummary> summaries = new ArrayList<>();
            List<FleetResult> results = new ArrayList<>();
            for (LoadPattern pattern : select("--patterns", patterns, LoadPattern::ofLabel)) {
                for (FleetPolicy policy : selectedPolicies) {
                    List<FleetResult> runs = IntStream.rangeClosed(1, seeds)
                            .parallel()
                            .mapToObj(seed -> FleetSimulation.simulate(spec, policy, pattern, seed))
                            .toList();
                    results.addAll(runs);
                    FleetSummary summary = FleetSummary.of(runs);
                    summaries.add(summary);
                    System.out.println(summary.formatLine());
                }
            }
            Path dir = Files.createDirectories(Path.of(out));
            writeCsv(dir.resolve("simulation.csv"), results);
            FleetPlot.write(dir.resolve("simulation.png"), summaries);
            System.out.printf("%nwrote %s and simulation.png%n", dir.resolve("simulation.csv"));
        } catch (IOException | IllegalArgumentException e) {
            Launch.fail(Launch.EXIT_USAGE, e.getMessage());
        }
    }

    private static <T> List<T> select(String option, String list, Function<String, Optional<T>> byLabel) {
        return Arrays.stream(list.split(","))
                .map(String::trim)
                .map(label -> byLabel.apply(label)
                        .orElseThrow(() -> new IllegalArgumentException(option + ": unknown '" + label + "'")))
                .toList();
    }

    private static void writeCsv(Path file, List<FleetResult> results) throws IOException {
        try (Writer w = Files.newBufferedWriter(file);
                CSVPrinter csv = new CSVPrinter(w, CSV)) {
            for (FleetResult r : results) {
                for (KindTally k : r.kinds()) {
                    csv.printRecord(
                            r.pattern().label(),
                            r.policy(),
                            r.seed(),
                            k.kind().name(),
                            k.asked(),
                            k.onTime(),
                            k.late(),
                            k.refused(),
                            k.refusedTwice(),
                            k.broken(),
                            String.format("%.2f", r.maxLoadPerSlot()));
                }
            }
        }
    }
}
