package org.onyxhinge.tools.experiment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Function;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.google.protobuf.Message;
import org.onyxhinge.core.schedule.RoutingPolicy;
import org.onyxhinge.core.schedule.SchedulerSettings;
import org.onyxhinge.router.admin.SetupFile;
import org.onyxhinge.runtime.Launch;
import org.onyxhinge.runtime.Logs;
import org.onyxhinge.runtime.Settings;
import org.onyxhinge.tools.demo.DeploymentFile;
import org.onyxhinge.tools.demo.EmbeddedSite;
import org.onyxhinge.tools.demo.Target;
import org.onyxhinge.tools.load.Workload;

/**
 * {@code load compare}: compares the default routing policy with baseline policies. All policies run on the same
 * synthetic workload, sampled from the workload of a deployment, at several loads and under several scenarios. Writes
 * {@code comparison.csv} and {@code comparison.png}.
 */
@Command(name = "compare", description = "Compare routing policies under load on an embedded site")
public final class CompareCommand implements Runnable {

    private static final SchedulerSettings DEFAULTS = SchedulerSettings.defaults();
    private static final int MAX_SECONDS = 600;
    private static final int MAX_COPIES = 16;
    private static final int MAX_ROUTERS = 8;
    private static final double MAX_LOAD = 10;

    @Option(
            name = {"-d", "--deployment"},
            title = "DIR",
            description = "deployment folder (default examples/postvirki)")
    private String deployment = "examples/postvirki";

    @Option(name = "--loads", title = "LIST", description = "ratios of offered load to capacity (default 1,2)")
    private String loads = "1,2";

    @Option(name = "--scenarios", title = "LIST", description = "steady, burst, slowdown (default all)")
    private String scenarios = "steady,burst,slowdown";

    @Option(name = "--policies", title = "LIST", description = "routing policies (default all)")
    private String policies = String.join(",", RoutingPolicy.settingNames());

    @Option(name = "--seconds", title = "N", description = "duration of a run (default 20)")
    private int seconds = 20;

    @Option(name = "--copies", title = "N", description = "copies of each target of the deployment (default 1)")
    private int copies = 1;

    @Option(name = "--routers", title = "N", description = "number of routers (default 1)")
    private int routers = 1;

    @Option(name = "--headroom", title = "PERCENT", description = "headroom_percent of the routers (default 0)")
    private int headroomPercent = DEFAULTS.headroomPercent();

    @Option(name = "--seed", title = "N", description = "random seed of the workload (default 7)")
    private long seed = 7;

    @Option(name = "--out", title = "DIR", description = "output folder of the report (default out/compare)")
    private String out = "out/compare";

    @Override
    public void run() {
        Logs.setUp("compare", "SEVERE");
        try {
            Path dir = Path.of(deployment);
            List<Message> setup = Settings.load(dir.resolve("setup.ini"))
                    .flatMap(SetupFile::read)
                    .getOrElseThrow(e -> new IllegalArgumentException(e.getMessage()));
            List<Target> targets = Settings.load(dir.resolve("deployment.ini"))
                    .flatMap(DeploymentFile::read)
                    .getOrElseThrow(e -> new IllegalArgumentException(e.getMessage()));
            Comparison comparison = new Comparison(
                    replicateTargets(targets),
                    setup,
                    Workload.read(dir.resolve("workload.jsonl")),
                    new EmbeddedSite.Options(
                            checkRange("--routers", routers, MAX_ROUTERS), DEFAULTS.policy(), headroomPercent),
                    checkRange("--seconds", seconds, MAX_SECONDS),
                    seed);
            report(comparison.run(specs()));
        } catch (IOException | IllegalArgumentException e) {
            Launch.fail(Launch.EXIT_USAGE, e.getMessage());
        }
    }

    private void report(List<RunResult> results) throws IOException {
        Path dir = Files.createDirectories(Path.of(out));
        ComparisonCsv.write(dir.resolve("comparison.csv"), results);
        ComparisonPlot.write(dir.resolve("comparison.png"), results);
        System.out.printf("%nwrote %s and %s%n", dir.resolve("comparison.csv"), dir.resolve("comparison.png"));
    }

    private List<RunSpec> specs() {
        List<RunSpec> specs = new ArrayList<>();
        for (Scenario scenario : parseList(
                "--scenarios",
                scenarios,
                s -> Scenario.ofLabel(s)
                        .orElseThrow(() -> new IllegalArgumentException("must be one of " + Scenario.labels())))) {
            for (double load : parseList("--loads", loads, CompareCommand::parseLoad)) {
                for (RoutingPolicy policy : parseList(
                        "--policies",
                        policies,
                        s -> RoutingPolicy.ofSetting(s)
                                .orElseThrow(() -> new IllegalArgumentException(
                                        "must be one of " + RoutingPolicy.settingNames())))) {
                    specs.add(new RunSpec(policy, scenario, load));
                }
            }
        }
        return specs;
    }

    private static double parseLoad(String text) {
        double load = Double.parseDouble(text);
        if (!(load > 0 && load <= MAX_LOAD)) {
            throw new IllegalArgumentException("must be greater than 0 and at most " + MAX_LOAD);
        }
        return load;
    }

    private static <T> List<T> parseList(String option, String list, Function<String, T> parse) {
        try {
            return Arrays.stream(list.split(",")).map(String::trim).map(parse).toList();
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(option + " " + list + ": " + e.getMessage(), e);
        }
    }

    private static int checkRange(String option, int value, int max) {
        if (value < 1 || value > max) {
            throw new IllegalArgumentException(option + " must be 1.." + max);
        }
        return value;
    }

    private List<Target> replicateTargets(List<Target> targets) {
        List<Target> all = new ArrayList<>();
        for (int i = 1; i <= checkRange("--copies", copies, MAX_COPIES); i++) {
            for (Target t : targets) {
                all.add(i == 1 ? t : t.withName(t.name() + "-" + i));
            }
        }
        return all;
    }
}
