package org.onyxhinge.runtime;

import java.util.List;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.json.JsonObject;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/** The metrics of a process that counts the calls of each of many routes. */
class StatusEndpointsTest {

    private static final int ROUTES = 10_000;
    /** What an operator still reads, and what costs little to write. */
    private static final int MAX_PAGE_CHARS = 32 * 1_024;

    private final MetricRegistry registry = new MetricRegistry();

    @BeforeEach
    void countCalls() {
        for (int i = 0; i < ROUTES; i++) {
            registry.counter("calls.route-" + i).inc(i);
        }
        registry.counter("events.rare").inc();
        registry.gauge("open", () -> () -> 3);
    }

    private JsonObject page() {
        return StatusEndpoints.toJson(registry, name -> name.startsWith("calls."));
    }

    @Test
    void pageIsBounded() {
        assertThat(page().encodePrettily().length(), is(lessThan(MAX_PAGE_CHARS)));
        assertThat(page().getInteger(StatusEndpoints.OMITTED), is(ROUTES - StatusEndpoints.MAX_NUMEROUS));
    }

    @Test
    void busiestRoutesAreListedFirst() {
        List<String> calls =
                page().fieldNames().stream().filter(n -> n.startsWith("calls.")).toList();
        assertThat(calls.size(), is(StatusEndpoints.MAX_NUMEROUS));
        assertThat(calls.subList(0, 2), is(List.of("calls.route-9999", "calls.route-9998")));
    }

    /** Guards against rare events that are left out beside busy routes. */
    @Test
    void otherMetricsAreAlwaysListed() {
        assertThat(page().getLong("events.rare"), is(1L));
        assertThat(page().getString("open"), is("3"));
    }

    @Test
    void allAreListedIfTheyAreFew() {
        registry.removeMatching((name, metric) -> name.startsWith("calls.route-1"));
        registry.removeMatching((name, metric) -> name.length() > "calls.route-99".length());
        assertThat(page().containsKey(StatusEndpoints.OMITTED), is(false));
        assertThat(page().getLong("calls.route-99"), is(99L));
    }
}
