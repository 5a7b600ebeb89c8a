package org.onyxhinge.router.forward;

import java.util.function.Consumer;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;

/** Reads the complete body of a caller's request, up to a maximum size. */
final class RequestBodyReader {

    private final int maxBytes;
    private final Consumer<Buffer> onComplete;
    private final Runnable onTooLarge;
    private final Buffer received = Buffer.buffer();
    private boolean finished;

    private RequestBodyReader(int maxBytes, Consumer<Buffer> onComplete, Runnable onTooLarge) {
        this.maxBytes = maxBytes;
        this.onComplete = onComplete;
        this.onTooLarge = onTooLarge;
    }

    /** Starts reading; exactly one of the callbacks is called, once. */
    static void read(HttpServerRequest request, int maxBytes, Consumer<Buffer> onComplete, Runnable onTooLarge) {
        RequestBodyReader body = new RequestBodyReader(maxBytes, onComplete, onTooLarge);
        request.handler(body::bytes);
        request.endHandler(v -> body.end());
        request.resume();
    }

    private void bytes(Buffer b) {
        if (finished) {
            return;
        }
        if (received.length() + b.length() > maxBytes) {
            finished = true;
            onTooLarge.run();
        } else {
            received.appendBuffer(b);
        }
    }

    private void end() {
        if (!finished) {
            finished = true;
            onComplete.accept(received);
        }
    }
}
