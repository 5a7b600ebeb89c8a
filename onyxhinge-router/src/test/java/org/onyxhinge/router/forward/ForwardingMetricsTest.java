package org.onyxhinge.router.forward;

import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

import com.codahale.metrics.MetricRegistry;
import org.junit.jupiter.api.Test;
import org.onyxhinge.core.route.CallKind;
import org.onyxhinge.core.route.EdgeLimits;
import org.onyxhinge.core.route.ForwardingConfig;
import org.onyxhinge.core.route.Route;
import org.onyxhinge.core.route.ServiceShare;
import org.onyxhinge.core.route.TargetService;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class ForwardingMetricsTest {

    private static final int ROUTES = 1_000;
    private static final String SERVICE = "mailroom";

    private final MetricRegistry registry = new MetricRegistry();
    private final ForwardingMetrics metrics = ForwardingMetrics.create(registry);

    private static ForwardingConfig config(long version, List<String> routes) {
        return ForwardingConfig.of(
                version,
                new EdgeLimits(16_384, 1_000_000, 1_000, 1_000),
                routes.stream().map(ForwardingMetricsTest::route).toList(),
                List.of(new TargetService(SERVICE, 10, false)),
                List.of());
    }

    private static Route route(String name) {
        List<ServiceShare> shares = List.of(new ServiceShare(SERVICE, 1));
        return new Route(
                name,
                "letters.example",
                "/" + name + "/",
                CallKind.IDEMPOTENT,
                false,
                true,
                0,
                1_000,
                1_000,
                0,
                1,
                shares);
    }

    private static List<String> names(int version) {
        return IntStream.range(0, ROUTES).mapToObj(i -> "v" + version + "-" + i).toList();
    }

    private void callOnEach(List<String> routes) {
        routes.forEach(r -> {
            metrics.callEnded(r, "ok");
            metrics.firstByteMs(SERVICE, 10);
            metrics.completionMs(SERVICE, 20);
        });
    }

    /** Guards against histograms of each route, which are far larger than a counter. */
    @Test
    void latenciesAreSharedByTheRoutesOfAService() {
        metrics.retain(config(1, names(1)));
        callOnEach(names(1));
        assertThat(registry.getGauges().keySet(), is(Set.of("first_byte." + SERVICE, "whole." + SERVICE)));
    }

    /** Guards against counters that outlive their routes. */
    @Test
    void metricsOfRoutesThatAreGoneAreRemoved() {
        for (int version = 1; version <= 10; version++) {
            metrics.retain(config(version, names(version)));
            callOnEach(names(version));
            callOnEach(names(version - 1));
        }
        assertThat(registry.getNames().size(), lessThanOrEqualTo(ROUTES + 3));
        assertThat(registry.getNames(), hasItem("calls.other.ok"));
        assertThat(registry.counter("calls.other.ok").getCount(), is(10L * ROUTES));
    }

    /** Guards against a service that is gone and whose calls in progress bring its histogram back. */
    @Test
    void latenciesOfServicesThatAreGoneAreRemoved() {
        metrics.retain(config(1, names(1)));
        metrics.firstByteMs(SERVICE, 10);
        metrics.retain(ForwardingConfig.of(
                2, new EdgeLimits(16_384, 1_000_000, 1_000, 1_000), List.of(), List.of(), List.of()));
        metrics.firstByteMs(SERVICE, 10);
        assertThat(registry.getGauges().keySet(), is(Set.of("first_byte.other")));
    }
}
