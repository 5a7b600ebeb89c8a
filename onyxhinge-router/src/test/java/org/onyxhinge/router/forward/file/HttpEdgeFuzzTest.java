package org.onyxhinge.router.forward.file;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;

import io.vertx.core.Vertx;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.onyxhinge.runtime.Launch;
import org.onyxhinge.runtime.Ports;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

/**
 * Corrupted and forged requests on callers' connections. The router must survive them and serve the next valid request,
 * and no target may execute a request embedded in another request's body or headers.
 */
class HttpEdgeFuzzTest {

    private static final long TIMEOUT_MS = 20_000;
    private static final int ROUNDS = 250;
    private static final String INNER =
            "POST /print/inner HTTP/1.1\r\nHost: letters.example\r\nX-Onyx-Key: k1\r\n" + "Content-Length: 0\r\n\r\n";

    private final Vertx vertx = Vertx.vertx();
    private final int port = Ports.free();
    private final List<String> executedUris = new CopyOnWriteArrayList<>();
    private ForwardingNode node;

    @BeforeEach
    void start() {
        int target = Launch.await(
                        vertx.createHttpServer()
                                .requestHandler(r -> r.body().onSuccess(b -> {
                                    executedUris.add(r.uri());
                                    r.response().end("ok");
                                }))
                                .listen(0, "127.0.0.1"),
                        TIMEOUT_MS)
                .actualPort();
        String text = SingleTargetConfig.text(port, target, "idle_timeout_ms = 1000", "");
        node = Launch.await(ForwardingNode.start(vertx, SingleTargetConfig.read(text)), TIMEOUT_MS);
    }

    @AfterEach
    void close() {
        node.close();
        Launch.await(vertx.close(), TIMEOUT_MS);
    }

    /** Sends bytes and returns what is received within a short time. */
    private String exchange(byte[] bytes) throws IOException {
        return exchange(bytes, 40);
    }

    /** Sends a valid request; returns its response as soon as it is complete. */
    private String sendValid() throws IOException {
        byte[] good = new String(validRequest("/print/good", "x"), StandardCharsets.ISO_8859_1)
                .replaceFirst("\r\n", "\r\nConnection: close\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
        return exchange(good, (int) TIMEOUT_MS);
    }

    private String exchange(byte[] bytes, int waitMs) throws IOException {
        try (Socket s = new Socket("127.0.0.1", port)) {
            s.setSoTimeout(waitMs);
            s.getOutputStream().write(bytes);
            s.getOutputStream().flush();
            return read(s.getInputStream());
        }
    }

    private static String read(InputStream in) {
        StringBuilder out = new StringBuilder();
        try {
            for (int b = in.read(); b >= 0; b = in.read()) {
                out.append((char) b);
            }
        } catch (SocketTimeoutException e) {
            // The router keeps the connection open; everything it sent has been received.
        } catch (IOException e) {
            out.append("[reset]");
        }
        return out.toString();
    }

    private static byte[] validRequest(String path, String body) {
        return ("POST " + path + " HTTP/1.1\r\nHost: letters.example\r\nX-Onyx-Key: k1\r\nContent-Length: "
                        + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    @Test
    void corruptedRequestsDoNotAffectOthers() throws IOException {
        Random random = new Random(81);
        for (int i = 0; i < ROUNDS; i++) {
            byte[] bytes = validRequest("/print/outer", INNER);
            int head = bytes.length - INNER.length();
            for (int n = 1 + random.nextInt(3); n > 0; n--) {
                // Only the outer head is corrupted; its declared length may then cover more or less than the body.
                int at = random.nextInt(head - 4);
                if (Character.isDigit(bytes[at])) {
                    continue;
                }
                bytes[at] = (byte) random.nextInt(256);
            }
            exchange(bytes);
            if (i % 10 == 0) {
                assertThat("round " + i, sendValid(), containsString("200 OK"));
            }
        }
        assertThat(executedUris.stream().filter("/print/good"::equals).count(), is((long) ROUNDS / 10));
    }

    @Test
    void smuggledRequestIsNeverExecuted() throws IOException {
        List<String> heads = List.of(
                "Content-Length: " + INNER.length() + "\r\nTransfer-Encoding: chunked\r\n",
                "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
                "Content-Length: 4\r\nContent-Length: " + INNER.length() + "\r\n",
                "Transfer-Encoding: xchunked\r\nContent-Length: " + INNER.length() + "\r\n",
                "Transfer-Encoding : chunked\r\nContent-Length: " + INNER.length() + "\r\n",
                "Transfer-Encoding: chunked, identity\r\nContent-Length: " + INNER.length() + "\r\n",
                "Content-Length: +" + INNER.length() + "\r\n",
                "X: y\nContent-Length: " + INNER.length() + "\r\n");
        for (String h : heads) {
            String text =
                    "POST /print/outer HTTP/1.1\r\nHost: letters.example\r\nX-Onyx-Key: k1\r\n" + h + "\r\n" + INNER;
            exchange(text.getBytes(StandardCharsets.ISO_8859_1));
        }
        assertThat(executedUris.stream().filter(uri -> uri.contains("inner")).toList(), is(empty()));
        assertThat(sendValid(), containsString("200 OK"));
    }

    @Test
    void randomBytesAreAnsweredOrDropped() throws IOException {
        Random random = new Random(82);
        for (int i = 0; i < ROUNDS / 5; i++) {
            byte[] bytes = new byte[1 + random.nextInt(2_000)];
            random.nextBytes(bytes);
            exchange(bytes);
        }
        assertThat(sendValid(), containsString("200 OK"));
        assertThat(executedUris.size(), greaterThan(0));
        assertThat(
                executedUris.stream().filter(uri -> !uri.equals("/print/good")).toList(), is(empty()));
    }
}
