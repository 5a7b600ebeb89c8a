package org.onyxhinge.router.forward;

import java.util.Map;
import java.util.Optional;

import io.vertx.core.http.HttpServerRequest;
import org.onyxhinge.core.route.ForwardingConfig;
import org.onyxhinge.core.route.Route;
import org.onyxhinge.core.route.WorkspaceAccess;

/** What one version of the configuration says of a request's head. */
sealed interface CallCheck {

    /** Of a request line: two spaces, the protocol's version and the line's end. */
    int REQUEST_LINE_BYTES = 12;

    /** Of a header line: the colon, a space and the line's end. */
    int HEADER_LINE_BYTES = 4;

    /** What the head says; null when it could not be read. */
    CallHead head();

    /**
     * It may go on.
     *
     * @param head what the head says
     * @param config the version it was checked by
     * @param route its route
     * @param workspace its caller's workspace; empty on keyless routes
     */
    record Allowed(CallHead head, ForwardingConfig config, Route route, Optional<WorkspaceAccess> workspace)
            implements CallCheck {}

    /**
     * It is wrong, and would be at every router.
     *
     * @param head what the head says, or null
     * @param status HTTP status to answer
     * @param outcome why, for the log
     * @param message why, for the caller
     */
    record Wrong(CallHead head, int status, String outcome, String message) implements CallCheck {}

    /**
     * This router cannot tell whether it is allowed; another may.
     *
     * @param head what the head says
     * @param why why, for the log and the caller
     */
    record NotHere(CallHead head, String why) implements CallCheck {}

    /** Checks a request's head. */
    static CallCheck of(
            HttpServerRequest request, CallProtocol protocol, ConfirmedConfig inForce, Freshness freshness) {
        ForwardingConfig config = inForce.config();
        var read = protocol.readCall(request);
        if (read.isLeft()) {
            return new Wrong(null, 400, "malformed", read.getLeft());
        }
        CallHead head = read.get();
        if (headBytes(request) > config.limits().maxHeaderBytes()) {
            return new Wrong(
                    head, 431, "head_too_large", "head above " + config.limits().maxHeaderBytes() + " bytes");
        }
        String host = request.getHeader("Host");
        String path = request.path();
        Optional<Route> match = config.match(host == null ? "" : host, path == null ? "" : path);
        if (match.isEmpty()) {
            return new Wrong(head, 404, "no_route", "no route for this host and path");
        }
        if (match.get().keyless()) {
            return new Allowed(head, config, match.get(), Optional.empty());
        }
        if (!freshness.holds(inForce.confirmedAtMs())) {
            return new NotHere(head, "no_fresh_proof");
        }
        Optional<WorkspaceAccess> workspace = head.apiKey().flatMap(config::workspaceOfKey);
        return workspace.isEmpty()
                ? new Wrong(head, 401, "unknown_key", "unknown API key")
                : new Allowed(head, config, match.get(), workspace);
    }

    /** Size of a request's head: each line with its separators, as on the wire. */
    private static int headBytes(HttpServerRequest request) {
        int bytes = request.method().name().length() + request.uri().length() + REQUEST_LINE_BYTES;
        for (Map.Entry<String, String> h : request.headers()) {
            bytes += h.getKey().length() + h.getValue().length() + HEADER_LINE_BYTES;
        }
        return bytes;
    }
}
