package org.onyxhinge.router.forward;

import java.util.function.Consumer;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;

/** Reads the complete body of a caller's request, up to a maximum size and as far as there is memory for it. */
final class RequestBodyReader {

    /** What has become of the body. */
    sealed interface Result {

        /** It was read. */
        record Whole(Buffer body) implements Result {}

        /** It is longer than permitted. */
        record TooLarge() implements Result {}

        /** There is no memory for it now. */
        record NoMemory() implements Result {}

        /** A part of it was received and lost. */
        record PartLost() implements Result {}
    }

    private final int maxBytes;
    private final BodyMemory.Share memory;
    private final Consumer<Result> onResult;
    private BodyBuffer body;
    private boolean finished;

    private RequestBodyReader(int maxBytes, BodyMemory.Share memory, Consumer<Result> onResult) {
        this.maxBytes = maxBytes;
        this.memory = memory;
        this.onResult = onResult;
    }

    /**
     * Starts reading.
     *
     * @param memory where memory for the body is reserved
     * @param onResult called once
     */
    static void read(HttpServerRequest request, int maxBytes, BodyMemory.Share memory, Consumer<Result> onResult) {
        new RequestBodyReader(maxBytes, memory, onResult).start(request);
    }

    private void start(HttpServerRequest request) {
        long declaredBytes = BodyBuffer.declaredLength(request.getHeader("Content-Length"));
        if (declaredBytes > maxBytes) {
            finish(new Result.TooLarge());
        } else if (!memory.tryReserve(Math.max(0, declaredBytes))) {
            finish(new Result.NoMemory());
        } else {
            body = BodyBuffer.of(declaredBytes);
            request.handler(this::part);
            request.endHandler(v -> end());
            request.resume();
        }
    }

    private void part(Buffer part) {
        if (finished) {
            return;
        }
        try {
            if (body.length() + part.length() > maxBytes) {
                finish(new Result.TooLarge());
            } else if (!memory.tryReserve(body.growthBytes(part))) {
                finish(new Result.NoMemory());
            } else {
                body.append(part);
            }
        } catch (RuntimeException | Error e) {
            finish(new Result.PartLost());
            throw e;
        }
    }

    private void end() {
        if (!finished) {
            finish(body.isWhole() ? new Result.Whole(body.buffer()) : new Result.PartLost());
        }
    }

    private void finish(Result result) {
        if (!finished) {
            finished = true;
            body = null;
            onResult.accept(result);
        }
    }
}
