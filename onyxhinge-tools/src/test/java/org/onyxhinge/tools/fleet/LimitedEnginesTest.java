package org.onyxhinge.tools.fleet;

import java.nio.file.Path;

import org.junit.jupiter.api.Test;
import org.onyxhinge.runtime.Settings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/** {@link LoadPattern#LIMITED_ENGINES} on fleets of three sizes, routers speaking as seldom as real ones. */
class LimitedEnginesTest {

    private static final double ALLOWED_IN_WINDOW = LoadPattern.LIMIT_PER_SECOND * LimitUse.WINDOW_MS / 1_000;
    /** What operators bear in a window: half as much again, and five. */
    private static final int BORNE = (int) (1.5 * ALLOWED_IN_WINDOW) + 5;

    private static final double LIMITED_S =
            (LoadPattern.LIMITED_UNTIL_MS - LoadPattern.LOST_FROM_MS - LimitUse.KNOWN_WITHIN_MS) / 1_000;

    private static FleetResult play(int routers) {
        FleetSpec site = Settings.load(Path.of("..", "examples", "kingston", "fleet.ini"))
                .flatMap(FleetSpec::read)
                .getOrElseThrow(e -> new AssertionError(e.getMessage()))
                .grownTo(routers);
        FleetPolicy landed = FleetPolicy.all().stream()
                .filter(p -> p.label().equals("landed"))
                .findFirst()
                .orElseThrow();
        return FleetSimulation.play(site, landed, LoadPattern.LIMITED_ENGINES, 1);
    }

    /** Guards against routers that each use a limit, or a part of it that none can use. */
    @Test
    void limitsAreKeptAndUsedAtAnySizeOfTheFleet() {
        for (int routers : new int[] {5, 33, 99}) {
            FleetResult result = play(routers);
            int used = 0;
            for (LimitUse use : result.limitsUsed()) {
                assertThat("routers " + routers, use.most(), lessThanOrEqualTo(BORNE));
                used += use.all();
            }
            double allowed = LoadPattern.LIMIT_PER_SECOND
                    * LIMITED_S
                    * result.limitsUsed().size();
            assertThat("routers " + routers, (double) used, greaterThan(allowed / 2));
        }
    }
}
