package org.onyxhinge.tools.demo;

import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import org.onyxhinge.runtime.Launch;

/** Aggregates the exact counters of the engine stand-ins, including wasted prefill. */
public final class EngineStats {

    private EngineStats() {}

    /** Returns the counters summed over all engines of the site. */
    public static JsonObject collect(EmbeddedSite site) {
        var http = site.vertx().createHttpClient();
        long computed = 0;
        long wasted = 0;
        long completed = 0;
        long cancelled = 0;
        for (int port : site.enginePorts()) {
            JsonObject s = Launch.await(
                    http.request(HttpMethod.GET, port, "127.0.0.1", "/stats")
                            .compose(req -> req.send().compose(resp -> resp.body()))
                            .map(b -> new JsonObject(b.toString())),
                    10_000);
            computed += s.getLong("prefillTokensComputed");
            wasted += s.getLong("prefillTokensWasted");
            completed += s.getLong("completed");
            cancelled += s.getLong("cancelled");
        }
        http.close();
        return new JsonObject()
                .put("prefillTokensComputed", computed)
                .put("prefillTokensWasted", wasted)
                .put("completed", completed)
                .put("cancelled", cancelled);
    }
}
