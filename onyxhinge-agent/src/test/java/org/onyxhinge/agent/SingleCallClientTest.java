package org.onyxhinge.agent;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.onyxhinge.wire.http.BoundedBody;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/** Responses of targets and of the VM list as an agent reads them. */
class SingleCallClientTest {

    private static final long TIMEOUT_MS = 10_000;
    private static final int MAX_BODY_BYTES = 10_000;

    /** More than the buffers of both sockets take. */
    private static final int UPLOAD_BYTES = 4 << 20;

    private final Vertx vertx = Vertx.vertx();
    private final HttpClient client = SingleCallClient.create(vertx);
    private ServerSocket listener;

    @BeforeEach
    void listen() throws IOException {
        listener = new ServerSocket();
        listener.setReceiveBufferSize(4_096);
        listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    @AfterEach
    void close() throws Exception {
        listener.close();
        vertx.close().await(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    /** Answers one call as soon as its first bytes are read; a reset follows unless the connection ends in order. */
    private void answer(String response, boolean reset) {
        Thread.startVirtualThread(() -> {
            try (Socket socket = listener.accept()) {
                socket.getInputStream().read();
                socket.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
                Thread.sleep(50);
                if (reset) {
                    socket.setSoLinger(true, 0);
                } else {
                    socket.shutdownOutput();
                    socket.getInputStream().transferTo(OutputStream.nullOutputStream());
                }
            } catch (IOException | InterruptedException e) {
                // The client has closed the connection.
            }
        });
    }

    private String call(int uploadBytes) throws TimeoutException {
        Future<String> read = client.request(HttpMethod.POST, listener.getLocalPort(), "127.0.0.1", "/order")
                .compose(r -> {
                    Future<String> body = r.response()
                            .compose(response -> BoundedBody.read(response, MAX_BODY_BYTES)
                                    .map(b -> response.statusCode() + " " + b));
                    r.end(Buffer.buffer(new byte[uploadBytes]));
                    return body;
                });
        return read.otherwise("none").await(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    /** Guards against an order, a health check or a list that is decided by bytes that are no response. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 000 OK\r\nContent-Length: 4\r\n\r\nbody",
                "HTTP/1.1 200 OK\r\nX-A b: 1\r\nContent-Length: 4\r\n\r\nbody",
                "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nbody",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
                "xHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"
            })
    void whatIsNoResponseDecidesNothing(String response) throws TimeoutException {
        answer(response, false);
        assertThat(call(4), is("none"));
    }

    /** Guards against a part of a response that is taken for the whole. */
    @ParameterizedTest
    @ValueSource(ints = {4, UPLOAD_BYTES})
    void aResponseWithoutLengthThatIsResetIsNotWhole(int uploadBytes) throws TimeoutException {
        answer("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart", true);
        assertThat(call(uploadBytes), is("none"));
    }

    @Test
    void soundResponsesAreRead() throws TimeoutException {
        answer("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nbody", false);
        assertThat(call(4), is("200 body"));
        answer("HTTP/1.1 200\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", false);
        assertThat(call(4), is("200 body"));
    }
}
