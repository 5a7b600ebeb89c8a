package org.onyxhinge.router.forward.file;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

import io.vertx.core.Vertx;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.onyxhinge.runtime.Launch;
import org.onyxhinge.runtime.Ports;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;

/** What a caller gets if a target sends bytes that are no response, or breaks one off. */
class MalformedResponseTest {

    private static final int TIMEOUT_MS = 20_000;
    private static final int ROUTE_TIMEOUT_MS = 5_000;
    private static final String ID = "X-Onyx-Request-Id: a\r\n";

    /** Answers the request whose head has been read. */
    private interface Target {
        void answer(Socket socket, InputStream in, int bodyBytes) throws IOException, InterruptedException;
    }

    private final Vertx routerVertx = Vertx.vertx();
    private final int port = Ports.free();
    private ServerSocket listener;

    @AfterEach
    void close() throws IOException {
        listener.close();
        Launch.await(routerVertx.close(), TIMEOUT_MS);
    }

    private void start(int receiveBufferBytes, Target target) throws IOException {
        listener = new ServerSocket();
        if (receiveBufferBytes > 0) {
            listener.setReceiveBufferSize(receiveBufferBytes);
        }
        listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        Thread.startVirtualThread(() -> accept(target));
        String text = SingleTargetConfig.routerText(port, "non_idempotent", ROUTE_TIMEOUT_MS)
                + "[target m1]\nservice = mailroom\nslots = 4\naddress = 127.0.0.1:" + listener.getLocalPort() + "\n";
        Launch.await(ForwardingNode.start(routerVertx, SingleTargetConfig.read(text)), TIMEOUT_MS);
    }

    private void accept(Target target) {
        try {
            while (true) {
                Socket socket = listener.accept();
                Thread.startVirtualThread(() -> serve(socket, target));
            }
        } catch (IOException e) {
            // The test has closed the listener.
        }
    }

    private static void serve(Socket socket, Target target) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream(), 1);
            String head = RepeatingTarget.readHead(in);
            target.answer(socket, in, Integer.parseInt(RepeatingTarget.header(head, "content-length", "0")));
        } catch (IOException | InterruptedException e) {
            // The router has closed the connection.
        }
    }

    /** All that a caller receives until the router closes the connection. */
    private String call(int bodyBytes) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(TIMEOUT_MS);
            OutputStream out = socket.getOutputStream();
            String head = "POST /print/1 HTTP/1.1\r\nHost: letters.example\r\nX-Onyx-Request-Id: a\r\n"
                    + OnyxCallProtocol.API_KEY + ": k1\r\nConnection: close\r\nContent-Length: " + bodyBytes
                    + "\r\n\r\n";
            out.write(head.getBytes(StandardCharsets.US_ASCII));
            out.write(new byte[bodyBytes]);
            out.flush();
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }

    /** What a caller gets for a response that the target sends at once, before it closes the connection. */
    private String passedOn(String escaped) throws IOException {
        byte[] response = escaped.translateEscapes().replace("ID\r\n", ID).getBytes(StandardCharsets.ISO_8859_1);
        start(0, (socket, in, bodyBytes) -> {
            in.readNBytes(bodyBytes);
            socket.getOutputStream().write(response);
            socket.getOutputStream().flush();
        });
        return call(4);
    }

    /** Guards against bytes that a caller takes for a response, since the decoder does. */
    @Nested
    class NoResponse {

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "HTTP/1.1 000 OK\\r\\nID\\r\\nContent-Length: 4\\r\\n\\r\\nbody",
                    "HTTP/1.1 099 OK\\r\\nID\\r\\nContent-Length: 4\\r\\n\\r\\nbody",
                    "HTTP/1.1 20 OK\\r\\nID\\r\\nContent-Length: 4\\r\\n\\r\\nbody",
                    "HTTP/1.1 600 OK\\r\\nID\\r\\nContent-Length: 4\\r\\n\\r\\nbody",
                    "HTTP/1.1 999 OK\\r\\nID\\r\\nContent-Length: 4\\r\\n\\r\\nbody",
                    "HTTP/1.1 1000 OK\\r\\nID\\r\\nContent-Length: 4\\r\\n\\r\\nbody",
                    "HTTP/1.1 2000 OK\\r\\nID\\r\\nContent-Length: 4\\r\\n\\r\\nbody",
                    "HTTP/1.1  200 OK\\r\\nID\\r\\nContent-Length: 4\\r\\n\\r\\nbody",
                    "HTTP/1.1\\t200 OK\\r\\nID\\r\\nContent-Length: 4\\r\\n\\r\\nbody",
                    "HTTP/1.1 200 O\\0K\\r\\nID\\r\\nContent-Length: 4\\r\\n\\r\\nbody",
                    "HTTP/1.1 +200 OK\\r\\nID\\r\\nContent-Length: 4\\r\\n\\r\\nbody",
                    "HTTP/2.0 200 OK\\r\\nID\\r\\nContent-Length: 4\\r\\n\\r\\nbody",
                    "HTTP/1.10 200 OK\\r\\nID\\r\\nContent-Length: 4\\r\\n\\r\\nbody",
                    "http/1.1 200 OK\\r\\nID\\r\\nContent-Length: 4\\r\\n\\r\\nbody",
                    "xHTTP/1.1 200 OK\\r\\nID\\r\\nContent-Length: 4\\r\\n\\r\\nbody",
                    " HTTP/1.1 200 OK\\r\\nID\\r\\nContent-Length: 4\\r\\n\\r\\nbody",
                    "\\r\\n\\r\\nHTTP/1.1 200 OK\\r\\nID\\r\\nContent-Length: 4\\r\\n\\r\\nbody",
                    "\\0HTTP/1.1 200 OK\\r\\nID\\r\\nContent-Length: 4\\r\\n\\r\\nbody",
                    "HTTP/1.1 000 OK\\r\\n\\r\\nHTTP/1.1 200 OK\\r\\nID\\r\\nContent-Length: 4\\r\\n\\r\\nbody",
                    "HTTP/1.1 200 OK\\nID\\r\\nContent-Length: 4\\r\\n\\r\\nbody",
                    "HTTP/1.1 200 OK\\r\\nID\\r\\nContent-Length: 4\\n\\r\\nbody",
                    "HTTP/1.1 200 OK\\r\\nID\\r\\nX-A b: 1\\r\\nContent-Length: 4\\r\\n\\r\\nbody",
                    "HTTP/1.1 200 OK\\r\\nID\\r\\nX-A\\tb: 1\\r\\nContent-Length: 4\\r\\n\\r\\nbody",
                    "HTTP/1.1 200 OK\\r\\nID\\r\\nX-A : 1\\r\\nContent-Length: 4\\r\\n\\r\\nbody",
                    "HTTP/1.1 200 OK\\r\\nID\\r\\nX-A\\1: 1\\r\\nContent-Length: 4\\r\\n\\r\\nbody",
                    "HTTP/1.1 200 OK\\r\\nID\\r\\nX-\\177A: 1\\r\\nContent-Length: 4\\r\\n\\r\\nbody",
                    "HTTP/1.1 200 OK\\r\\nID\\r\\nX-(A): 1\\r\\nContent-Length: 4\\r\\n\\r\\nbody",
                    "HTTP/1.1 200 OK\\r\\nID\\r\\n: 1\\r\\nContent-Length: 4\\r\\n\\r\\nbody",
                    "HTTP/1.1 200 OK\\r\\nID\\r\\nX-A\\r\\nContent-Length: 4\\r\\n\\r\\nbody",
                    "HTTP/1.1 200 OK\\r\\nID\\r\\nContent-Length : 2\\r\\n\\r\\nbody",
                    "HTTP/1.1 200 OK\\r\\nID\\r\\n Content-Length: 2\\r\\n\\r\\nbody",
                    "HTTP/1.1 200 OK\\r\\n X-A: 1\\r\\nID\\r\\nContent-Length: 4\\r\\n\\r\\nbody",
                    "HTTP/1.1 200 OK\\r\\nID\\r\\nContent-Length: 4\\r\\n 2\\r\\n\\r\\nbody",
                    "HTTP/1.1 200 OK\\r\\nID\\r\\nX-A: a\\0b\\r\\nContent-Length: 4\\r\\n\\r\\nbody",
                    "HTTP/1.1 200 OK\\r\\nID\\r\\nX-A: a\\rb\\r\\nContent-Length: 4\\r\\n\\r\\nbody",
                    "HTTP/1.1 200 OK\\r\\nID\\r\\nX-A: a\\177b\\r\\nContent-Length: 4\\r\\n\\r\\nbody",
                    "HTTP/1.1 200 OK\\r\\nID\\r\\nContent-Length: 2\\r\\nContent-Length: 4\\r\\n\\r\\nbody",
                    "HTTP/1.1 200 OK\\r\\nID\\r\\nContent-Length: 2, 4\\r\\n\\r\\nbody",
                    "HTTP/1.1 200 OK\\r\\nID\\r\\nContent-Length: +4\\r\\n\\r\\nbody",
                    "HTTP/1.1 200 OK\\r\\nID\\r\\nContent-Length: -4\\r\\n\\r\\nbody",
                    "HTTP/1.1 200 OK\\r\\nID\\r\\nContent-Length: 4x\\r\\n\\r\\nbody",
                    "HTTP/1.1 200 OK\\r\\nID\\r\\nContent-Length:\\r\\n\\r\\nbody",
                    "HTTP/1.1 200 OK\\r\\nID\\r\\nContent-Length: 99999999999999999999\\r\\n\\r\\nbody",
                    "HTTP/1.1 200 OK\\r\\nID\\r\\nContent-Length: 4\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n"
                            + "4\\r\\nbody\\r\\n0\\r\\n\\r\\n",
                    "HTTP/1.1 200 OK\\r\\nID\\r\\nTransfer-Encoding: gzip, chunked\\r\\n\\r\\n"
                            + "4\\r\\nbody\\r\\n0\\r\\n\\r\\n",
                    "HTTP/1.1 200 OK\\r\\nID\\r\\nTransfer-Encoding: chunked, gzip\\r\\n\\r\\n"
                            + "4\\r\\nbody\\r\\n0\\r\\n\\r\\n",
                    "HTTP/1.1 200 OK\\r\\nID\\r\\nTransfer-Encoding: chunked\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n"
                            + "4\\r\\nbody\\r\\n0\\r\\n\\r\\n",
                    "HTTP/1.1 200 OK\\r\\nID\\r\\nTransfer-Encoding: xchunked\\r\\n\\r\\nbody",
                    "HTTP/1.0 200 OK\\r\\nID\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n4\\r\\nbody\\r\\n0\\r\\n\\r\\n",
                    "HTTP/1.1 200 OK\\r\\nID\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n4 \\r\\nbody\\r\\n0\\r\\n\\r\\n",
                    "HTTP/1.1 200 OK\\r\\nID\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n 4\\r\\nbody\\r\\n0\\r\\n\\r\\n",
                    "HTTP/1.1 200 OK\\r\\nID\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n0x4\\r\\nbody\\r\\n0\\r\\n\\r\\n",
                    "HTTP/1.1 200 OK\\r\\nID\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n+4\\r\\nbody\\r\\n0\\r\\n\\r\\n",
                    "HTTP/1.1 200 OK\\r\\nID\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n4;a=\\0\\r\\nbody\\r\\n0\\r\\n\\r\\n",
                    "HTTP/1.1 200 OK\\r\\nID\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n4\\r\\nbodyx\\r\\n0\\r\\n\\r\\n",
                    "HTTP/1.1 200 OK\\r\\nID\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n4\\r\\nbody\\r\\n0\\r\\n"
                            + "A b: 1\\r\\n\\r\\n"
                })
        void isNotPassedOn(String escaped) throws IOException {
            String received = passedOn(escaped);
            assertThat(received, startsWith("HTTP/1.1 502 "));
            assertThat(received, not(containsString("body\r\n")));
        }
    }

    /** Guards against a reader so strict that it refuses what the standard allows. */
    @Nested
    class UnusualResponse {

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "HTTP/1.1 200 \\r\\nID\\r\\nContent-Length: 4\\r\\n\\r\\nbody",
                    "HTTP/1.1 200\\r\\nID\\r\\nContent-Length: 4\\r\\n\\r\\nbody",
                    "HTTP/1.1 200 a b\\tc \\344\\r\\nID\\r\\nContent-Length: 4\\r\\n\\r\\nbody",
                    "HTTP/1.0 200 OK\\r\\nID\\r\\nContent-Length: 4\\r\\n\\r\\nbody",
                    "HTTP/1.1 200 OK\\r\\nID\\r\\ncontent-length:4\\r\\n\\r\\nbody",
                    "HTTP/1.1 200 OK\\r\\nID\\r\\nContent-Length: \\t 4 \\t\\r\\n\\r\\nbody",
                    "HTTP/1.1 200 OK\\r\\nID\\r\\nContent-Length: 0004\\r\\n\\r\\nbody",
                    "HTTP/1.1 200 OK\\r\\nID\\r\\nX-A:\\r\\nContent-Length: 4\\r\\n\\r\\nbody",
                    "HTTP/1.1 200 OK\\r\\nID\\r\\nX-A: \\344\\377 b\\tc\\r\\nContent-Length: 4\\r\\n\\r\\nbody",
                    "HTTP/1.1 200 OK\\r\\nID\\r\\n!#$%&'*+-.^_`|~9: 1\\r\\nContent-Length: 4\\r\\n\\r\\nbody",
                    "HTTP/1.1 200 OK\\r\\nID\\r\\nX-A: a\\r\\n  folded\\r\\nContent-Length: 4\\r\\n\\r\\nbody",
                    "HTTP/1.1 200 OK\\r\\nID\\r\\nTransfer-Encoding: Chunked\\r\\n\\r\\n4\\r\\nbody\\r\\n0\\r\\n\\r\\n",
                    "HTTP/1.1 200 OK\\r\\nID\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n"
                            + "0004;a=\\\"b c\\\";d\\r\\nbody\\r\\n000\\r\\nX-A: 1\\r\\n\\r\\n",
                    "HTTP/1.1 200 OK\\r\\nID\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n1\\r\\nb\\r\\n3 ;a\\r\\nody\\r\\n"
                            + "0\\r\\n\\r\\n",
                    "HTTP/1.1 100 Continue\\r\\n\\r\\nHTTP/1.1 103 E\\r\\nLink: a\\r\\n\\r\\n"
                            + "HTTP/1.1 200 OK\\r\\nID\\r\\nContent-Length: 4\\r\\n\\r\\nbody",
                    "HTTP/1.1 200 OK\\r\\nID\\r\\n\\r\\nbody"
                })
        void isPassedOn(String escaped) throws IOException {
            String received = passedOn(escaped);
            assertThat(received, startsWith("HTTP/1.1 200 "));
            assertThat(received.substring(received.indexOf("\r\n\r\n")), containsString("body"));
        }

        @Test
        void aFoldedLineIsWrittenAsOne() throws IOException {
            String received = passedOn(
                    "HTTP/1.1 200 OK\\r\\nID\\r\\nX-A: a\\r\\n  folded\\r\\nContent-Length: 4\\r\\n\\r\\nbody");
            assertThat(received, not(containsString("\r\n ")));
            assertThat(received, containsString("folded\r\n"));
        }
    }

    /** Guards against a part of a response that a caller takes for the whole, since the connection is broken. */
    @Nested
    class BrokenWhileUploading {

        /** More than the buffers of both sockets take. */
        private static final int UPLOAD_BYTES = 4 << 20;

        private static final int RECEIVE_BUFFER_BYTES = 4_096;
        private static final String HEAD = "HTTP/1.1 200 OK\r\n" + ID + "Connection: close\r\n";

        private String afterAnswer(String answer, long delayMs, boolean reset) throws IOException {
            start(RECEIVE_BUFFER_BYTES, (socket, in, bodyBytes) -> {
                socket.getOutputStream().write(answer.getBytes(StandardCharsets.US_ASCII));
                socket.getOutputStream().flush();
                Thread.sleep(delayMs);
                if (reset) {
                    socket.setSoLinger(true, 0);
                } else {
                    socket.shutdownOutput();
                    in.readNBytes(bodyBytes);
                }
            });
            return call(UPLOAD_BYTES);
        }

        @ParameterizedTest
        @CsvSource({"5,3000", "60,3000", "400,3000", "5,0", "60,0", "400,0"})
        void aResponseWithoutLengthThatIsResetIsNotWhole(long delayMs, int bytes) throws IOException {
            String received = afterAnswer(HEAD + "\r\n" + "b".repeat(bytes), delayMs, true);
            assertThat(received, startsWith("HTTP/1.1 502 "));
        }

        @Test
        void aResponseWithoutLengthThatEndsInOrderIsWhole() throws IOException {
            String received = afterAnswer(HEAD + "\r\n" + "b".repeat(3_000), 60, false);
            assertThat(received, startsWith("HTTP/1.1 200 "));
            assertThat(received, containsString("b".repeat(3_000)));
        }

        /** Neither its end nor a notice shows that the target has written all of it. */
        @Test
        void aResponseWithoutLengthThatEndsWithoutNoticeIsNotWhole() throws IOException {
            String received = afterAnswer("HTTP/1.1 200 OK\r\n" + ID + "\r\n" + "b".repeat(3_000), 60, false);
            assertThat(received, startsWith("HTTP/1.1 502 "));
        }

        @Test
        void aResponseWithLengthIsWholeThoughTheConnectionIsReset() throws IOException {
            String received = afterAnswer(HEAD + "Content-Length: 3000\r\n\r\n" + "b".repeat(3_000), 60, true);
            assertThat(received, startsWith("HTTP/1.1 200 "));
            assertThat(received, containsString("b".repeat(3_000)));
        }
    }
}
