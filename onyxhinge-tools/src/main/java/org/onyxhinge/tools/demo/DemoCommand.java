package org.onyxhinge.tools.demo;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.google.protobuf.Message;
import io.vertx.core.json.JsonObject;
import org.onyxhinge.router.admin.SetupFile;
import org.onyxhinge.runtime.Launch;
import org.onyxhinge.runtime.Logs;
import org.onyxhinge.runtime.Settings;
import org.onyxhinge.tools.load.Driver;
import org.onyxhinge.tools.load.Outcome;
import org.onyxhinge.tools.load.Summary;
import org.onyxhinge.tools.load.TierSummary;
import org.onyxhinge.tools.load.WorkItem;
import org.onyxhinge.tools.load.Workload;

/**
 * {@code demo}: runs a sample deployment end to end on one machine. Starts the embedded site that a deployment folder
 * ({@code deployment.ini}, {@code setup.ini}, {@code workload.jsonl}) describes, sends the workload, and prints goodput
 * by tier, refusals, wasted prefill and the latency that the router adds.
 */
@Command(name = "demo", description = "Run a sample deployment end to end on this machine and print a summary")
public final class DemoCommand implements Runnable {

    private static final long RUN_TIMEOUT_MS = 300_000;

    @Option(
            name = {"-d", "--deployment"},
            title = "DIR",
            description = "deployment folder (default examples/postvirki)")
    private String deployment = "examples/postvirki";

    @Option(name = "--log-level", title = "LEVEL", description = "WARNING (default), INFO, FINE")
    private String logLevel = "WARNING";

    @Override
    public void run() {
        Logs.setUp("demo", logLevel);
        Path dir = Path.of(deployment);
        var targets = Settings.load(dir.resolve("deployment.ini")).flatMap(DeploymentFile::read);
        var setup = Settings.load(dir.resolve("setup.ini")).flatMap(SetupFile::read);
        if (targets.isLeft() || setup.isLeft()) {
            Launch.fail(Launch.EXIT_SETTINGS, (targets.isLeft() ? targets.getLeft() : setup.getLeft()).getMessage());
            return;
        }
        List<WorkItem> items;
        try {
            items = Workload.read(dir.resolve("workload.jsonl"));
        } catch (IOException | IllegalArgumentException e) {
            Launch.fail(Launch.EXIT_SETTINGS, "workload: " + e.getMessage());
            return;
        }
        System.out.println(report(targets.get(), setup.get(), items).encodePrettily());
    }

    /** Sends {@code items} to an embedded site, prints a table by tier and returns the report. */
    public static JsonObject report(List<Target> targets, List<Message> setup, List<WorkItem> items) {
        try (EmbeddedSite site = EmbeddedSite.start(targets, setup, EmbeddedSite.Options.defaults());
                Driver driver = Driver.roundRobin(site.vertx(), "127.0.0.1", site.httpPorts(), 60_000)) {
            List<Outcome> outcomes = Launch.await(driver.run(items), RUN_TIMEOUT_MS);
            List<TierSummary> byTier = Summary.byTier(outcomes, Summary.budgets(setup));
            System.out.print(Summary.table(byTier));
            JsonObject router = site.router().metrics().toJson();
            return new JsonObject()
                    .put("requests", outcomes.size())
                    .put("byTier", Summary.toJson(byTier))
                    .put("wastedPrefillTokensRouterEstimate", router.getLong("prefill.wasted.tokens", 0L))
                    .put("routerDispatchDelay", router.getJsonObject("dispatchDelay"))
                    .put("routerAddedLatency", router.getJsonObject("addedLatency"))
                    .put("engineStats", EngineStats.collect(site));
        }
    }
}
