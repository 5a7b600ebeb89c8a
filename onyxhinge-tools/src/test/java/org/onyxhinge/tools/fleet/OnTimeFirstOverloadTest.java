package org.onyxhinge.tools.fleet;

import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.onyxhinge.core.place.Mechanism;
import org.onyxhinge.core.place.PlacementSettings;
import org.onyxhinge.runtime.Settings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;

/** Load pattern: 1.1 times the normal load throughout, with two bursts; callers retry once. */
class OnTimeFirstOverloadTest {

    private static final int SEEDS = 2;

    private static FleetSummary run(PlacementSettings settings) {
        FleetSpec site = Settings.load(Path.of("..", "examples", "postvirki", "fleet-grown.ini"))
                .flatMap(FleetSpec::read)
                .getOrElseThrow(e -> new AssertionError(e.getMessage()));
        FleetPolicy policy = new FleetPolicy.PlacementPolicy("tested", settings, true);
        List<FleetResult> runs = LongStream.rangeClosed(1, SEEDS)
                .parallel()
                .mapToObj(seed -> FleetSimulation.simulate(site, policy, LoadPattern.OVERLOAD, seed))
                .toList();
        return FleetSummary.of(runs);
    }

    @Nested
    class ManyRouters {

        /** Guards against callers that are queued, turn late, are overtaken and are refused after their wait. */
        @Test
        void refusedCallersWaitHalfAsLongAndMoreIsServedOnTime() {
            FleetSummary before = run(PlacementSettings.defaults());
            FleetSummary after = run(PlacementSettings.defaults().with(Set.of(Mechanism.ON_TIME_FIRST)));
            assertThat(after.refusalWaitMs(), lessThan(before.refusalWaitMs() / 2));
            assertThat(after.worth(), greaterThan(before.worth()));
        }
    }
}
