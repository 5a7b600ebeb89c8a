package org.onyxhinge.router.forward;

import java.util.Optional;

import io.vertx.core.http.HttpServerRequest;
import org.onyxhinge.core.route.ForwardingConfig;
import org.onyxhinge.core.route.Route;
import org.onyxhinge.core.route.WorkspaceAccess;

/** Result of checking a request's head against one version of the configuration. */
sealed interface CallCheck {

    /** The parsed request head; null if it could not be parsed. */
    CallHead head();

    /**
     * The request may proceed.
     *
     * @param head the parsed request head
     * @param config the configuration it was checked against
     * @param route the matching route
     * @param workspace the caller's workspace; empty on keyless routes
     */
    record Allowed(CallHead head, ForwardingConfig config, Route route, Optional<WorkspaceAccess> workspace)
            implements CallCheck {}

    /**
     * The request is invalid, and would be at every router.
     *
     * @param head the parsed request head, or null
     * @param status HTTP status of the response
     * @param outcome reason for the log
     * @param message reason for the caller
     */
    record Rejected(CallHead head, int status, String outcome, String message) implements CallCheck {

        /** Whether another configuration could allow the request. */
        boolean dependsOnConfig() {
            return head != null;
        }
    }

    /**
     * This router cannot decide whether the request is allowed; another one may be able to.
     *
     * @param head the parsed request head
     * @param why reason for the log and the caller
     */
    record Undetermined(CallHead head, String why) implements CallCheck {}

    static CallCheck of(
            HttpServerRequest request, CallProtocol protocol, ConfirmedConfig active, ConfigFreshness freshness) {
        ForwardingConfig config = active.config();
        var read = protocol.readCall(request);
        if (read.isLeft()) {
            return new Rejected(null, 400, "malformed", read.getLeft());
        }
        CallHead head = read.get();
        String host = request.getHeader("Host");
        String path = request.path();
        Optional<Route> match = config.match(host == null ? "" : host, path == null ? "" : path);
        if (match.isEmpty()) {
            return new Rejected(head, 404, "no_route", "no route for this host and path");
        }
        if (match.get().keyless()) {
            return new Allowed(head, config, match.get(), Optional.empty());
        }
        if (!freshness.isFresh(active.confirmedAtMs())) {
            return new Undetermined(head, "no_fresh_proof");
        }
        Optional<WorkspaceAccess> workspace = head.apiKey().flatMap(config::workspaceOfKey);
        return workspace.isEmpty()
                ? new Rejected(head, 401, "unknown_key", "unknown API key")
                : new Allowed(head, config, match.get(), workspace);
    }
}
