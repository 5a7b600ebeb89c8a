package org.onyxhinge.router.forward;

import java.math.BigDecimal;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BooleanSupplier;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;

/** The response to a caller: writes exactly one, which is either complete or recognizably truncated. */
final class CallerResponse {

    /**
     * Retry delay for refusals that concern only this router. A retry reaches another router and so should come almost
     * at once; the short delay lets a load balancer that has just lost this router notice.
     */
    static final long OTHER_ROUTER_RETRY_MS = 40;

    /** Decimal places of a second that represent ms. */
    private static final int MS_DECIMALS = 3;
    /**
     * The retry delay is increased by a random fraction up to this, so that refused callers do not retry in lockstep.
     */
    private static final double RETRY_JITTER = 0.5;

    /** Size of the parts of a body: a slow caller reads one within a fraction of the time that it may be silent. */
    private static final int PART_BYTES = 65_536;

    private final HttpServerRequest request;
    private final HttpServerResponse response;
    private final SlowReaders readers;
    private final BooleanSupplier preferOtherRouter;
    private StreamHead streamHead;
    /** Bytes of a stream that have been written and not taken by the caller. */
    private int backlogBytes;

    private Runnable onDrained;

    /** Head of a stream whose first event has not been received yet. */
    private record StreamHead(int status, HttpClientResponse from) {}

    /**
     * Creates the response to a request.
     *
     * @param readers counts what is buffered for the caller
     * @param preferOtherRouter whether the caller's next request should go to another router: a load balancer sends new
     *     connections there, but an open connection stays
     */
    CallerResponse(HttpServerRequest request, SlowReaders readers, BooleanSupplier preferOtherRouter) {
        this.request = request;
        this.response = request.response();
        this.readers = readers;
        this.preferOtherRouter = preferOtherRouter;
    }

    boolean headSent() {
        return response.headWritten();
    }

    /** Forwards a complete response; the result completes once it is written. */
    Future<Void> sendResponse(int status, HttpClientResponse from, Buffer body) {
        copyHead(status, from);
        if (request.method() == HttpMethod.HEAD || status == 204 || status == 304) {
            return response.end();
        }
        return readers.enabled() ? sendInParts(body) : response.end(body);
    }

    /** Writes a body in parts, whose ends show whether the caller reads. The body stays in memory until the last. */
    private Future<Void> sendInParts(Buffer body) {
        if (!readers.buffered(request.connection(), body.length())) {
            return Future.failedFuture("the caller is cut because it does not read");
        }
        response.putHeader("Content-Length", Integer.toString(body.length()));
        int from = 0;
        while (body.length() - from > PART_BYTES) {
            readers.writing(request.connection(), response.write(body.slice(from, from + PART_BYTES)), 0);
            from += PART_BYTES;
        }
        Future<Void> written = response.end(body.slice(from, body.length()));
        readers.writing(request.connection(), written, body.length());
        return written;
    }

    /**
     * Stores the head of a stream, which is sent with the first event. Until then the target may break off, and what
     * follows is another target's response or an error of this router, which must not carry the first target's
     * signature.
     */
    void beginStream(int status, HttpClientResponse from) {
        streamHead = new StreamHead(status, from);
    }

    private void sendStreamHead() {
        if (!response.headWritten()) {
            copyHead(streamHead.status(), streamHead.from());
            response.setChunked(true);
        }
    }

    private void copyHead(int status, HttpClientResponse from) {
        response.setStatusCode(status);
        if (from.statusMessage() != null && !from.statusMessage().isEmpty()) {
            response.setStatusMessage(from.statusMessage());
        }
        HopHeaders.copy(from.headers(), response.headers(), Set.of());
        closeIfOtherRouterPreferred();
    }

    /** Writes bytes of a stream; true if the caller is not reading fast enough. */
    boolean write(Buffer bytes) {
        sendStreamHead();
        if (!readers.buffered(request.connection(), bytes.length())) {
            return true;
        }
        Future<Void> written = response.write(bytes);
        readers.writing(request.connection(), written, bytes.length());
        readers.streaming(written, bytes.length());
        backlogBytes += bytes.length();
        written.onComplete(r -> {
            backlogBytes -= bytes.length();
            if (r.succeeded()) {
                resumeIfDrained();
            }
        });
        return backlogBytes > readers.maxStreamBacklogBytes() || response.writeQueueFull();
    }

    /** Runs an action once the caller has taken most of what was written. */
    void onDrain(Runnable resume) {
        onDrained = resume;
        resumeIfDrained();
    }

    private void resumeIfDrained() {
        Runnable resume = onDrained;
        if (resume != null && backlogBytes <= readers.maxStreamBacklogBytes() / 2 && !response.writeQueueFull()) {
            onDrained = null;
            resume.run();
        }
    }

    void endStream() {
        sendStreamHead();
        response.end();
    }

    /**
     * Refuses a call that was not executed, with a {@code Retry-After} in seconds (RFC 9110, section 10.2.3).
     *
     * @param exact whether the caller should retry exactly then, because the time was chosen for it alone
     */
    void refuse(int status, String why, long retryAfterMs, boolean exact) {
        if (response.ended() || response.headWritten()) {
            return;
        }
        response.setStatusCode(status);
        if (retryAfterMs > 0) {
            double jitter = exact ? 1 : 1 + ThreadLocalRandom.current().nextDouble() * RETRY_JITTER;
            // Avoids String.format: its first use in a process loads the locale's number formats, which takes 35 ms.
            BigDecimal seconds = BigDecimal.valueOf((long) (retryAfterMs * jitter), MS_DECIMALS);
            response.putHeader("Retry-After", seconds.toPlainString());
        }
        closeIfOtherRouterPreferred();
        response.end("not run: " + why + "\n");
    }

    void fail(int status, String message) {
        if (!response.ended() && !response.headWritten()) {
            response.setStatusCode(status);
            closeIfOtherRouterPreferred();
            response.end(message + "\n");
        }
    }

    /** Truncates a response that has begun, by closing the connection. */
    void abortResponse() {
        request.connection().close();
    }

    private void closeIfOtherRouterPreferred() {
        if (preferOtherRouter.getAsBoolean()) {
            response.putHeader("Connection", "close");
        }
    }
}
