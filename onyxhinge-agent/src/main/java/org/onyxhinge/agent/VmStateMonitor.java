package org.onyxhinge.agent;

import java.util.function.Consumer;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import org.onyxhinge.wire.BoundedJson;
import org.onyxhinge.wire.http.BoundedBody;

/**
 * Monitors whether the platform's VM list marks the target's VM as leaving. The agent queries only its own
 * VM. The list may lag or be unavailable; the last known state applies until the next response.
 */
final class VmStateMonitor {

    private static final String LEAVING = "leaving";
    private static final int MAX_STATE_BYTES = 64 << 10;

    private final HttpClient http;
    private final AgentSettings settings;
    private final Consumer<Boolean> onLeavingChanged;
    private boolean leaving;

    private VmStateMonitor(HttpClient http, AgentSettings settings, Consumer<Boolean> onLeavingChanged) {
        this.http = http;
        this.settings = settings;
        this.onLeavingChanged = onLeavingChanged;
    }

    /** Starts polling the state of the VM; without a VM id in the settings, the VM is never leaving. */
    static VmStateMonitor start(
            Vertx vertx, HttpClient http, AgentSettings settings, Consumer<Boolean> onLeavingChanged) {
        VmStateMonitor monitor = new VmStateMonitor(http, settings, onLeavingChanged);
        if (!settings.vmId().isEmpty()) {
            vertx.setPeriodic(settings.vmListIntervalMs(), t -> monitor.poll());
        }
        return monitor;
    }

    boolean leaving() {
        return leaving;
    }

    private void poll() {
        http.request(HttpMethod.GET, settings.vmListPort(), settings.vmListHost(), "/vms/" + settings.vmId())
                .compose(req -> req.send().compose(resp -> BoundedBody.read(resp, MAX_STATE_BYTES)))
                .map(body -> BoundedJson.object(body.toString()).getString("state", ""))
                .onSuccess(this::onState);
    }

    private void onState(String state) {
        boolean newLeaving = state.equals(LEAVING);
        if (newLeaving != leaving) {
            leaving = newLeaving;
            onLeavingChanged.accept(newLeaving);
        }
    }
}
