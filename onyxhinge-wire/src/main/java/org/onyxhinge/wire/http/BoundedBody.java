package org.onyxhinge.wire.http;

import java.io.IOException;
import java.util.function.Predicate;

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

        private TooLongException() {
            super("response body is too long");
        }
    }

    /**
     * Returns the body; fails with {@link TooLongException} if it is longer than {@code maxBytes}, or if its connection
     * breaks. Must be called in the event of the response's head.
     */
    public static Future<Buffer> read(HttpClientResponse response, int maxBytes) {
        Buffer body = Buffer.buffer();
        Predicate<Buffer> reader = part -> {
            boolean fits = body.length() + part.length() <= maxBytes;
            if (fits) {
                body.appendBuffer(part);
            }
            return fits;
        };
        return read(response, reader).map(v -> body);
    }

    /**
     * Reads a body like {@link #read(HttpClientResponse, int)}, without keeping it.
     *
     * @param reader reads a part when it arrives; returns false if the body is too long with it
     */
    public static Future<Void> read(HttpClientResponse response, Predicate<Buffer> reader) {
        Promise<Void> read = Promise.promise();
        response.exceptionHandler(read::tryFail);
        response.endHandler(v -> read.tryComplete());
        response.handler(part -> {
            if (!read.future().isComplete() && !reader.test(part)) {
                read.tryFail(new TooLongException());
                response.request().connection().close();
            }
        });
        return read.future();
    }
}
