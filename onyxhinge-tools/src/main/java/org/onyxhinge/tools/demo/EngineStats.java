package org.onyxhinge.tools.demo;

import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import org.onyxhinge.runtime.Launch;

/** Reads the engine stand-ins' exact counters (wasted prefill among them) and adds them up. */
public final class EngineStats {

    private EngineStats() {}

    /** The sums over every engine of the site. */
    public static JsonObject collect(Embedded site) {
        var http = site.platform().createHttpClient();
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
