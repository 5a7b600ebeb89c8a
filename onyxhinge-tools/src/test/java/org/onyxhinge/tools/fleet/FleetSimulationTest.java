package org.onyxhinge.tools.fleet;

import java.nio.file.Path;
import java.util.List;
import java.util.stream.LongStream;

import io.vavr.control.Either;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.onyxhinge.runtime.Settings;
import org.onyxhinge.runtime.SettingsException;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/**
 * The heaviest load patterns of the users' sites, in virtual time on engine models. The bounds are the results of six
 * seeds, with about a third of the difference as margin.
 */
class FleetSimulationTest {

    private static final int SEEDS = 6;
    private static final List<String> SITES = List.of("kingston", "postvirki");

    private static FleetSpec site(String name) {
        return site(name, "fleet.ini");
    }

    private static FleetSpec site(String name, String file) {
        return Settings.load(Path.of("..", "examples", name, file))
                .flatMap(FleetSpec::read)
                .getOrElseThrow(e -> new AssertionError(e.getMessage()));
    }

    private static FleetPolicy policy(String label) {
        return FleetPolicy.all().stream()
                .filter(p -> p.label().equals(label))
                .findFirst()
                .orElseThrow();
    }

    private static FleetSummary simulate(String site, String policy, LoadPattern pattern) {
        FleetSpec spec = site(site);
        return FleetSummary.of(LongStream.rangeClosed(1, SEEDS)
                .parallel()
                .mapToObj(seed -> FleetSimulation.simulate(spec, policy(policy), pattern, seed))
                .toList());
    }

    private static double onTime(FleetSummary s, int kind) {
        return s.onTimeByKind().get(kind).fraction();
    }

    @Test
    void sameSeedGivesSameResult() {
        FleetSummary first = simulate("postvirki", "landed", LoadPattern.BURST);
        assertThat(simulate("postvirki", "landed", LoadPattern.BURST), is(first));
    }

    @Nested
    class Patterns {

        @Test
        void steadyLoadEarnsNearlyAllWorth() {
            for (String site : SITES) {
                assertThat(site, simulate(site, "landed", LoadPattern.STEADY).worth(), greaterThan(0.97));
            }
        }

        @Test
        void heaviestLoadEarnsMoreThanBaselines() {
            for (String site : SITES) {
                double landed = simulate(site, "landed", LoadPattern.HEAVIEST).worth();
                assertThat(site, landed, greaterThan(0.6));
                assertThat(
                        site,
                        landed,
                        greaterThan(simulate(site, "round-robin", LoadPattern.HEAVIEST)
                                        .worth()
                                + 0.1));
                assertThat(
                        site,
                        landed,
                        greaterThan(simulate(site, "least-outstanding", LoadPattern.HEAVIEST)
                                        .worth()
                                + 0.1));
            }
        }

        @Test
        void mostUrgentCallsStayOnTimeBesideHotWorkspace() {
            FleetSummary with = simulate("kingston", "landed", LoadPattern.HOT_WORKSPACE);
            FleetSummary without = simulate("kingston", "no-hand-over", LoadPattern.HOT_WORKSPACE);
            assertThat(onTime(with, 0), greaterThan(0.97));
            assertThat(onTime(with, 0), greaterThan(onTime(without, 0) + 0.02));
        }

        @Test
        void mostRequestsStayOnTimeDuringEngineLoss() {
            for (String site : SITES) {
                assertThat(
                        site, simulate(site, "landed", LoadPattern.ENGINE_LOSS).worth(), greaterThan(0.85));
            }
        }

        @Test
        void peerUpdatesPreventEngineOverload() {
            FleetSummary with = simulate("kingston", "landed", LoadPattern.HOT_WORKSPACE);
            FleetSummary without = simulate("kingston", "no-peers", LoadPattern.HOT_WORKSPACE);
            assertThat(with.maxLoadPerSlot(), lessThan(2.5));
            assertThat(with.worth(), greaterThan(without.worth() + 0.15));
        }
    }

    /** The users' enlarged site: 39 engines behind few or many routers, with more load than they can carry. */
    @Nested
    class FleetSize {

        /** Routers know less about each other as their number grows; this may cost at most a tenth of the worth. */
        private static final double MIN_WORTH_RATIO = 0.9;

        private double worth(int routers, LoadPattern pattern) {
            FleetSpec site = site("postvirki", "fleet-grown.ini").withRouters(routers);
            return FleetSummary.of(LongStream.rangeClosed(1, SEEDS / 2)
                            .parallel()
                            .mapToObj(seed -> FleetSimulation.simulate(site, policy("landed"), pattern, seed))
                            .toList())
                    .worth();
        }

        @Test
        void manyRoutersEarnNearlyAsMuchAsFewUnderOverload() {
            assertThat(worth(31, LoadPattern.OVERLOAD), greaterThan(MIN_WORTH_RATIO * worth(4, LoadPattern.OVERLOAD)));
        }

        @Test
        void manyRoutersEarnNearlyAsMuchAsFewDuringEngineLoss() {
            assertThat(
                    worth(31, LoadPattern.ENGINE_LOSS),
                    greaterThan(MIN_WORTH_RATIO * worth(4, LoadPattern.ENGINE_LOSS)));
        }
    }

    /**
     * Five data centres with one router per engine, under the heaviest load: a router's knowledge of the others must be
     * as fresh in a larger fleet, and their number may cost at most three percentage points of the worth.
     */
    @Nested
    class LargeFleet {

        private static final double MAX_WORTH_LOSS = 0.03;

        private FleetSpec large() {
            return site("postvirki", "fleet-large.ini");
        }

        private FleetSummary heaviest(FleetSpec site, String policy) {
            return FleetSummary.of(LongStream.rangeClosed(1, 2)
                    .parallel()
                    .mapToObj(seed -> FleetSimulation.simulate(site, policy(policy), LoadPattern.HEAVIEST, seed))
                    .toList());
        }

        @Test
        void tripledFleetEarnsSameWorth() {
            double worthOfLarge = heaviest(large(), "landed").worth();
            assertThat(heaviest(large().scaledTo(99), "landed").worth(), greaterThan(worthOfLarge - MAX_WORTH_LOSS));
        }

        @Test
        void manyRoutersEarnAsMuchAsFew() {
            double worthWithFew = heaviest(large().withRouters(5), "landed").worth();
            assertThat(heaviest(large(), "landed").worth(), greaterThan(worthWithFew - MAX_WORTH_LOSS));
        }

        @Test
        void noEngineIsOverloaded() {
            assertThat(heaviest(large(), "landed").maxLoadPerSlot(), lessThan(2.0));
            assertThat(heaviest(large(), "no-groups").maxLoadPerSlot(), greaterThan(2.0));
        }
    }

    @Nested
    class SiteFiles {

        @Test
        void errorNamesInvalidKey() {
            Either<SettingsException, FleetSpec> read = Settings.fromText(
                            "x.ini", "[site]\nrouters = 0\n[kind a]\nprompt = 3\n[workspace w]\n")
                    .flatMap(FleetSpec::read);
            assertThat(read.getLeft().getMessage(), containsString("[site] routers"));
            assertThat(read.getLeft().getMessage(), containsString("[kind a] prompt: unknown key"));
        }

        @Test
        void siteWithoutKindsIsRejected() {
            Either<SettingsException, FleetSpec> read =
                    Settings.fromText("x.ini", "[site]\nrouters = 2\n").flatMap(FleetSpec::read);
            assertThat(read.getLeft().getMessage(), containsString("at least one"));
        }
    }
}
