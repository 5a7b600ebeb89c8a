package org.onyxhinge.router.forward.file;

import java.util.Optional;
import java.util.Set;
import java.util.UUID;

import io.vavr.control.Either;
import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerRequest;
import org.onyxhinge.core.connection.ResponseIdentity;
import org.onyxhinge.core.place.AdvertisedLimit;
import org.onyxhinge.router.forward.CallHead;
import org.onyxhinge.router.forward.CallProtocol;
import org.onyxhinge.router.forward.HopHeaders;
import org.onyxhinge.router.forward.OutgoingCall;
import org.onyxhinge.router.forward.PromptParts;
import org.onyxhinge.router.forward.ResponseHead;

/**
 * The product's own header names. All headers of a caller are optional. Targets need not know any of them, but a
 * response stating that the call was not run is never treated as an execution, and a connection whose last response did
 * not repeat the request id carries no further call.
 */
public final class OnyxCallProtocol implements CallProtocol {

    static final String REQUEST_ID = "X-Onyx-Request-Id";
    static final String API_KEY = "X-Onyx-Key";
    static final String DEADLINE_MS = "X-Onyx-Deadline-Ms";
    static final String PROMPT_TOKENS = "X-Onyx-Prompt-Tokens";
    static final String MAX_OUTPUT_TOKENS = "X-Onyx-Max-Output-Tokens";
    static final String EXPECTED_OUTPUT_TOKENS = "X-Onyx-Expected-Output-Tokens";
    /** Ids of the parts that the prompt begins with, separated by commas. */
    static final String PROMPT_PARTS = "X-Onyx-Prompt-Parts";

    static final String WORKSPACE = "X-Onyx-Workspace";
    static final String TARGET = "X-Onyx-Target";
    static final String NOT_RUN = "X-Onyx-Not-Run";
    /** Requests per second that the target accepts from all routers together, for as long as its responses say so. */
    static final String RATE_LIMIT = "X-Onyx-Rate-Limit";
    /** Present in the responses of a target that is shutting down. */
    static final String LEAVING = "X-Onyx-Leaving";

    private static final String LAST_EVENT_ID = "Last-Event-ID";
    /** The caller's id of the attempt that brought the first event of the stream that it resumes. */
    static final String RESUMES = "X-Onyx-Resumes";

    /** For callers that give no deadline; their route's timeout is usually shorter. */
    private static final long DEFAULT_DEADLINE_MS = 60_000;

    /** The key must not reach a target; the other headers are reserved for the router. */
    private static final Set<String> DROPPED = Set.of(
            "x-onyx-key",
            "x-onyx-workspace",
            "x-onyx-target",
            "x-onyx-deadline-ms",
            "last-event-id",
            "accept-encoding");

    @Override
    public Either<String, CallHead> readCall(HttpServerRequest request) {
        MultiMap headers = request.headers();
        String id = headers.get(REQUEST_ID);
        try {
            return Either.right(new CallHead(
                    id == null || id.isEmpty() ? UUID.randomUUID().toString() : id,
                    Optional.ofNullable(headers.get(API_KEY)),
                    number(headers, DEADLINE_MS, DEFAULT_DEADLINE_MS),
                    Optional.ofNullable(headers.get(LAST_EVENT_ID)),
                    Optional.ofNullable(headers.get(RESUMES)),
                    number(headers, PROMPT_TOKENS, 0),
                    number(headers, MAX_OUTPUT_TOKENS, 0),
                    number(headers, EXPECTED_OUTPUT_TOKENS, 0),
                    PromptParts.parse(headers.get(PROMPT_PARTS))));
        } catch (NumberFormatException e) {
            return Either.left(e.getMessage());
        }
    }

    private static long number(MultiMap headers, String name, long fallback) {
        String text = headers.get(name);
        if (text == null) {
            return fallback;
        }
        try {
            return Long.parseUnsignedLong(text.trim());
        } catch (NumberFormatException e) {
            throw new NumberFormatException(name + " must be a whole number, was '" + text + "'");
        }
    }

    @Override
    public void writeCall(MultiMap callerHeaders, OutgoingCall outgoing, MultiMap out) {
        HopHeaders.copy(callerHeaders, out, DROPPED);
        out.set(DEADLINE_MS, Long.toString(Math.max(1, outgoing.deadlineLeftMs())));
        out.set(REQUEST_ID, outgoing.requestId());
        out.set(TARGET, outgoing.targetId());
        outgoing.workspace().ifPresent(w -> out.set(WORKSPACE, w));
        outgoing.lastEventId().ifPresent(id -> out.set(LAST_EVENT_ID, id));
    }

    @Override
    public ResponseIdentity readIdentity(MultiMap headers, String requestId) {
        return ResponseIdentity.of(headers.getAll(REQUEST_ID), requestId);
    }

    @Override
    public ResponseHead readResponse(int status, MultiMap headers, String requestId) {
        return ResponseHead.of(
                status,
                headers.contains(NOT_RUN),
                readIdentity(headers, requestId),
                true,
                AdvertisedLimit.parse(headers.get(RATE_LIMIT)),
                headers.contains(LEAVING),
                headers.get(HttpHeaders.RETRY_AFTER));
    }
}
