package org.onyxhinge.wire.http;

import java.io.IOException;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;

/**
 * Reads the whole body of an HTTP response of limited size. If it is longer, its connection is closed; the rest would
 * otherwise be read and dropped for as long as its sender goes on.
 */
public final class BoundedBody {

    private BoundedBody() {}

    /** A body that is longer than it may be. */
    public static final class TooLongException extends IOException {

        private static final long serialVersionUID = 1;

        private TooLongException(int maxBytes) {
            super("response body is longer than " + maxBytes + " bytes");
        }
    }

    /**
     * Returns the body; fails with {@link TooLongException} if it is longer than {@code maxBytes}, or if its connection
     * breaks. Must be called in the event of the response's head.
     */
    public static Future<Buffer> read(HttpClientResponse response, int maxBytes) {
        return read(response, maxBytes, () -> {});
    }

    /**
     * Reads a body like {@link #read(HttpClientResponse, int)}.
     *
     * @param progress runs whenever a part of the body has arrived
     */
    public static Future<Buffer> read(HttpClientResponse response, int maxBytes, Runnable progress) {
        Promise<Buffer> read = Promise.promise();
        Buffer body = Buffer.buffer();
        response.exceptionHandler(read::tryFail);
        response.endHandler(v -> read.tryComplete(body));
        response.handler(part -> {
            progress.run();
            if (body.length() + part.length() <= maxBytes) {
                body.appendBuffer(part);
            } else if (read.tryFail(new TooLongException(maxBytes))) {
                response.request().connection().close();
            }
        });
        return read.future();
    }
}
