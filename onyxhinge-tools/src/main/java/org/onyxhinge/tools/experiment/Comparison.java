package org.onyxhinge.tools.experiment;

import java.util.ArrayList;
import java.util.List;

import com.google.protobuf.Message;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import org.onyxhinge.runtime.Launch;
import org.onyxhinge.tools.demo.EmbeddedSite;
import org.onyxhinge.tools.demo.EngineStats;
import org.onyxhinge.tools.demo.Target;
import org.onyxhinge.tools.load.Driver;
import org.onyxhinge.tools.load.Outcome;
import org.onyxhinge.tools.load.Summary;
import org.onyxhinge.tools.load.WorkItem;

/**
 * Runs a synthetic workload against a new embedded site for each run spec. Policies are compared on the same requests
 * at the same times.
 *
 * @param targets targets of the site
 * @param setup configuration of the site
 * @param sample workload that requests are sampled from
 * @param options options of the site; each run replaces the policy
 * @param seconds duration of a run
 * @param seed random seed of the workload
 */
record Comparison(
        List<Target> targets,
        List<Message> setup,
        List<WorkItem> sample,
        EmbeddedSite.Options options,
        int seconds,
        long seed) {

    /** Time without data after which a caller abandons its request. */
    private static final long RESPONSE_TIMEOUT_MS = 30_000;

    private static final long RUN_TIMEOUT_MS = 600_000;
    private static final long SETTLE_TIME_MS = 200;
    private static final long MS_PER_SECOND = 1_000;

    RunResult run(RunSpec spec) {
        double rate = LoadGenerator.capacityPerSecond(targets, sample) * spec.loadFactor();
        List<WorkItem> items = LoadGenerator.generate(sample, rate, spec.scenario(), seconds, seed);
        try (EmbeddedSite site = EmbeddedSite.start(targets, setup, options.withPolicy(spec.policy()));
                Driver driver = Driver.roundRobin(site.vertx(), "127.0.0.1", site.httpPorts(), RESPONSE_TIMEOUT_MS)) {
            if (spec.scenario() == Scenario.SLOWDOWN) {
                scheduleSlowdown(site);
            }
            List<Outcome> outcomes = Launch.await(driver.run(items), RUN_TIMEOUT_MS);
            awaitCancellations();
            JsonObject engines = EngineStats.collect(site);
            return new RunResult(
                    spec,
                    Summary.byTier(outcomes, Summary.budgets(setup)),
                    engines.getLong("prefillTokensComputed"),
                    engines.getLong("prefillTokensWasted"));
        }
    }

    List<RunResult> run(List<RunSpec> specs) {
        List<RunResult> out = new ArrayList<>();
        for (RunSpec spec : specs) {
            RunResult result = run(spec);
            out.add(result);
            System.out.printf(
                    "%n%s %s: prefill wasted %.1f %% of %d tokens%n%s",
                    spec.policy().settingName(),
                    spec.label(),
                    100 * result.wastedFraction(),
                    result.prefillComputedTokens(),
                    Summary.table(result.tiers()));
        }
        return out;
    }

    private void scheduleSlowdown(EmbeddedSite site) {
        int port = site.enginePorts().get(0);
        long lengthMs = seconds * MS_PER_SECOND;
        site.vertx()
                .setTimer(
                        (long) (Scenario.SLOWDOWN_START * lengthMs),
                        t -> setSlowdownFactor(site, port, Scenario.SLOWDOWN_FACTOR));
        site.vertx().setTimer((long) (Scenario.SLOWDOWN_END * lengthMs), t -> setSlowdownFactor(site, port, 1.0));
    }

    private static void setSlowdownFactor(EmbeddedSite site, int port, double factor) {
        site.vertx()
                .createHttpClient()
                .request(HttpMethod.POST, port, "127.0.0.1", "/admin/slowdown?factor=" + factor)
                .compose(req -> req.send());
    }

    /** Waits for the engines to process the last cancellations, so that their counters are final when read. */
    private static void awaitCancellations() {
        try {
            Thread.sleep(SETTLE_TIME_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
