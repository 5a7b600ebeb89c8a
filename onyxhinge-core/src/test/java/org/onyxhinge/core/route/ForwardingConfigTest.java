package org.onyxhinge.core.route;

import java.util.List;
import java.util.OptionalInt;
import java.util.Set;

import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

class ForwardingConfigTest {

    private static final EdgeLimits LIMITS = new EdgeLimits(16_384, 1 << 20, 3_000, 15_000);

    private static Route route(String name, String host, String prefix, ServiceShare... shares) {
        return new Route(name, host, prefix, CallKind.IDEMPOTENT, false, false, 0, 1_000, 100, 0, 1, List.of(shares));
    }

    private static ForwardingConfig config(Route... routes) {
        return ForwardingConfig.of(
                7,
                LIMITS,
                List.of(routes),
                List.of(new TargetService("s", 10, false), new TargetService("t", 10, false)),
                List.of(new WorkspaceAccess("w", Set.of("k1", "k2"), OptionalInt.empty(), QuotaUnit.TOKENS, 5, 0, 0)));
    }

    @Nested
    class Matching {

        private final ForwardingConfig config = config(
                route("short", "a.example", "/x/", new ServiceShare("s", 1)),
                route("long", "a.example", "/x/y/", new ServiceShare("s", 1)),
                route("other", "b.example", "/", new ServiceShare("s", 1)));

        private String match(String host, String path) {
            return config.match(host, path).map(Route::name).orElse("none");
        }

        @Test
        void longestPrefixOfTheHostMatches() {
            assertThat(match("a.example", "/x/y/z"), is("long"));
            assertThat(match("a.example", "/x/yz"), is("short"));
            assertThat(match("a.example", "/x"), is("none"));
            assertThat(match("a.example", "/"), is("none"));
            assertThat(match("b.example", "/x/y/z"), is("other"));
            assertThat(match("c.example", "/x/y/z"), is("none"));
        }

        @Test
        void hostsAreComparedWithoutCaseAndPort() {
            assertThat(match("A.Example:8080", "/x/1"), is("short"));
            assertThat(match("", "/x/1"), is("none"));
        }
    }

    @Nested
    class Checks {

        @Test
        void aRouteToAnUnknownServiceIsRejectedByName() {
            Exception e = Assertions.assertThrows(
                    IllegalArgumentException.class,
                    () -> config(route("lost", "a.example", "/x/", new ServiceShare("nowhere", 1))));
            assertThat(e.getMessage(), both(containsString("lost")).and(containsString("nowhere")));
        }

        @Test
        void prefixesEndWithASlash() {
            Assertions.assertThrows(
                    IllegalArgumentException.class, () -> route("r", "a", "/x", new ServiceShare("s", 1)));
        }
    }

    @Test
    void trafficIsSplitByWeight() {
        Route r = route("r", "a", "/x/", new ServiceShare("s", 90), new ServiceShare("t", 10));
        int toS = 0;
        for (int i = 0; i < 1_000; i++) {
            toS += r.pickService(i / 1_000.0).equals("s") ? 1 : 0;
        }
        assertThat(toS, is(both(greaterThan(895)).and(lessThan(905))));
    }

    @Test
    void callsWithoutTokenCountsAreChargedThePlainUnits() {
        WorkspaceAccess w = config().workspaceOfKey("k2").orElseThrow();
        assertThat(w.units(-1), is(5L));
        assertThat(w.units(700), is(700L));
    }
}
