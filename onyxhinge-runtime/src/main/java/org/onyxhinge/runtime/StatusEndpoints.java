package org.onyxhinge.runtime;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.function.Supplier;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Meter;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;
import org.jboss.logging.Logger;

/**
 * HTTP handler for the status endpoints of every onyxhinge process: {@code GET /healthz} (200 while it
 * accepts work, 503 while draining), {@code GET /metrics} (Dropwizard metrics as JSON) and
 * {@code GET /debug/state} (the state dump, created for each request).
 */
public final class StatusEndpoints implements Handler<HttpServerRequest> {

    /** Path of the state dump. */
    public static final String STATE_PATH = "/debug/state";

    private static final String HEALTH_PATH = "/healthz";
    private static final String METRICS_PATH = "/metrics";

    /** All status paths. */
    public static final List<String> PATHS = List.of(HEALTH_PATH, METRICS_PATH, STATE_PATH);

    /** Most counters that are listed of those whose number has no bound. */
    static final int MAX_NUMEROUS = 500;

    /** Name under which the number of counters is listed that are left out. */
    static final String OMITTED = "counters_omitted";

    private static final Logger LOG = Logger.getLogger(StatusEndpoints.class);

    private final MetricRegistry metrics;
    private final Predicate<String> numerous;
    private final Supplier<Future<JsonObject>> state;
    private final Supplier<Boolean> healthy;

    private record Count(String name, long value) {}

    private StatusEndpoints(
            MetricRegistry metrics,
            Predicate<String> numerous,
            Supplier<Future<JsonObject>> state,
            Supplier<Boolean> healthy) {
        this.metrics = metrics;
        this.numerous = numerous;
        this.state = state;
        this.healthy = healthy;
    }

    /** Creates the handler; it answers 404 for other paths. */
    public static StatusEndpoints create(
            MetricRegistry metrics, Supplier<Future<JsonObject>> state, Supplier<Boolean> healthy) {
        return create(metrics, name -> false, state, healthy);
    }

    /**
     * Creates the handler for metrics that include counters by name.
     *
     * @param numerous tells the counters whose number has no bound
     */
    public static StatusEndpoints create(
            MetricRegistry metrics,
            Predicate<String> numerous,
            Supplier<Future<JsonObject>> state,
            Supplier<Boolean> healthy) {
        return new StatusEndpoints(metrics, numerous, state, healthy);
    }

    @Override
    public void handle(HttpServerRequest req) {
        switch (req.path()) {
            case HEALTH_PATH ->
                req.response().setStatusCode(healthy.get() ? 200 : 503).end(healthy.get() ? "ok\n" : "draining\n");
            case METRICS_PATH -> respond(req, toJson(metrics, numerous));
            case STATE_PATH ->
                state.get()
                        .onSuccess(dump -> respond(
                                req, dump.put("usage", ProcessUsage.now().toJson())))
                        .onFailure(e -> req.response().setStatusCode(500).end(e.getMessage() + "\n"));
            default -> req.response().setStatusCode(404).end();
        }
    }

    private static void respond(HttpServerRequest req, JsonObject body) {
        req.response().putHeader("content-type", "application/json").end(body.encodePrettily());
    }

    /** The counters, meters and gauges of a registry as a JSON object. */
    public static JsonObject toJson(MetricRegistry metrics) {
        return toJson(metrics, name -> false);
    }

    /**
     * The counters, meters and gauges of a registry as a JSON object of bounded size.
     *
     * @param numerous tells counters whose number has no bound from the others; of these only the highest are listed,
     *     the highest first, and the number of the others
     */
    static JsonObject toJson(MetricRegistry metrics, Predicate<String> numerous) {
        SortedMap<String, Object> listed = new TreeMap<>();
        Queue<Count> highest = new PriorityQueue<>(Comparator.comparingLong(Count::value));
        int omitted = 0;
        for (Map.Entry<String, Metric> e : metrics.getMetrics().entrySet()) {
            String name = e.getKey();
            switch (e.getValue()) {
                case Counter c -> {
                    if (numerous.test(name)) {
                        highest.add(new Count(name, c.getCount()));
                    } else {
                        listed.put(name, c.getCount());
                    }
                }
                case Meter m ->
                    listed.put(name, new JsonObject().put("count", m.getCount()).put("m1Rate", m.getOneMinuteRate()));
                case Gauge<?> g -> listed.put(name, String.valueOf(g.getValue()));
                default -> LOG.debugf("metric not listed name=%s", name);
            }
            if (highest.size() > MAX_NUMEROUS) {
                highest.remove();
                omitted++;
            }
        }
        JsonObject out = new JsonObject(new LinkedHashMap<>(listed));
        highest.stream()
                .sorted(Comparator.comparingLong(Count::value).reversed())
                .forEach(c -> out.put(c.name(), c.value()));
        return omitted == 0 ? out : out.put(OMITTED, omitted);
    }
}
