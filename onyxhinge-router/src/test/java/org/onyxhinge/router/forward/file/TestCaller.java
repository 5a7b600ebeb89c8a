package org.onyxhinge.router.forward.file;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;

/** Sends calls of the workspace {@code agency} to a router on loopback. */
final class TestCaller {

    private static final String BODY = "list";

    /** Held in a field because an unreferenced client is closed when it is garbage-collected. */
    private final HttpClient client;

    /**
     * All requests are made on one context. Requests that are made on the thread of a test are handled on another
     * context each, which may be told of the response before the handlers of its body are added.
     */
    private final Context context;

    private final int port;

    /** A complete response. */
    record Answer(int status, String body, MultiMap headers) {}

    private TestCaller(HttpClient client, Context context, int port) {
        this.client = client;
        this.context = context;
        this.port = port;
    }

    static TestCaller create(Vertx vertx, int port) {
        return new TestCaller(vertx.createHttpClient(), vertx.getOrCreateContext(), port);
    }

    /** Sends a POST with an API key and, in pairs of name and value, further headers. */
    Future<Answer> post(String path, String key, String... headers) {
        RequestOptions options = new RequestOptions()
                .setHost("127.0.0.1")
                .setPort(port)
                .setMethod(HttpMethod.POST)
                .setURI(path)
                .putHeader("Host", "letters.example")
                .putHeader(OnyxCallProtocol.API_KEY, key);
        for (int i = 0; i < headers.length; i += 2) {
            options.putHeader(headers[i], headers[i + 1]);
        }
        return Future.future(answered -> context.runOnContext(
                v -> client.request(options).compose(TestCaller::readAnswer).onComplete(answered)));
    }

    /**
     * The handlers of the body are added in the event of the response's head. In a later step of the caller's own chain
     * they may be too late for a short body, and the future never completes.
     */
    private static Future<Answer> readAnswer(HttpClientRequest request) {
        return request.send(Buffer.buffer(BODY))
                .compose(response -> response.body()
                        .map(body -> new Answer(response.statusCode(), body.toString(), response.headers())));
    }
}
