package org.onyxhinge.agent;

import java.util.function.Consumer;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;

/**
 * Whether the platform's VM list says the target's VM is leaving. The agent looks up only its own VM.
 * The list lags and may be away: the last answer stays in force until a newer one comes.
 */
final class VmState {

    private static final String LEAVING = "leaving";

    private final HttpClient http;
    private final AgentSettings settings;
    private final Consumer<Boolean> changed;
    private boolean leaving;

    private VmState(HttpClient http, AgentSettings settings, Consumer<Boolean> changed) {
        this.http = http;
        this.settings = settings;
        this.changed = changed;
    }

    /** Follows the VM's state, or never sees it leave when the settings name no VM. */
    static VmState follow(Vertx vertx, HttpClient http, AgentSettings settings, Consumer<Boolean> changed) {
        VmState state = new VmState(http, settings, changed);
        if (!settings.vmId().isEmpty()) {
            vertx.setPeriodic(settings.vmListIntervalMs(), t -> state.look());
        }
        return state;
    }

    boolean leaving() {
        return leaving;
    }

    private void look() {
        http.request(HttpMethod.GET, settings.vmListPort(), settings.vmListHost(), "/vms/" + settings.vmId())
                .compose(req -> req.send().compose(resp -> resp.body()))
                .map(body -> new JsonObject(body).getString("state", ""))
                .onSuccess(this::heard);
    }

    private void heard(String state) {
        boolean now = state.equals(LEAVING);
        if (now != leaving) {
            leaving = now;
            changed.accept(now);
        }
    }
}
