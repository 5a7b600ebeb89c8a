package org.onyxhinge.tools.fleet;

import java.nio.file.Path;

import org.junit.jupiter.api.Test;
import org.onyxhinge.runtime.Settings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/** {@link LoadPattern#LIMITED_ENGINES} on fleets of three sizes, with the update intervals of real routers. */
class LimitedEnginesTest {

    private static final double ALLOWED_IN_WINDOW = LoadPattern.LIMIT_PER_SECOND * LimitUsage.WINDOW_MS / 1_000;
    /** Operators tolerate 1.5 times the limit plus five requests in a window. */
    private static final int MAX_IN_WINDOW = (int) (1.5 * ALLOWED_IN_WINDOW) + 5;

    private static final double LIMITED_SECONDS =
            (LoadPattern.LIMIT_END_MS - LoadPattern.FAULT_START_MS - LimitUsage.PROPAGATION_MS) / 1_000;

    private static FleetResult simulate(int routers) {
        FleetSpec site = Settings.load(Path.of("..", "examples", "kingston", "fleet.ini"))
                .flatMap(FleetSpec::read)
                .getOrElseThrow(e -> new AssertionError(e.getMessage()))
                .scaledTo(routers);
        FleetPolicy landed = FleetPolicy.all().stream()
                .filter(p -> p.label().equals("landed"))
                .findFirst()
                .orElseThrow();
        return FleetSimulation.simulate(site, landed, LoadPattern.LIMITED_ENGINES, 1);
    }

    /** Guards against routers that each use the whole limit, or split it into shares too small to use. */
    @Test
    void limitsAreKeptAndUsedAtAnyFleetSize() {
        for (int routers : new int[] {5, 33, 99}) {
            FleetResult result = simulate(routers);
            int used = 0;
            for (LimitUsage use : result.limitUsage()) {
                assertThat("routers " + routers, use.maxInWindow(), lessThanOrEqualTo(MAX_IN_WINDOW));
                used += use.total();
            }
            double allowed = LoadPattern.LIMIT_PER_SECOND
                    * LIMITED_SECONDS
                    * result.limitUsage().size();
            assertThat("routers " + routers, (double) used, greaterThan(allowed / 2));
        }
    }
}
