import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/** A client's connection to a router. */
final class Client implements AutoCloseable {

    static final String HOST = "ficu95.example";
    static final String KEY = "i9n73hh2b9wu3fexd9dn";
    private static final AtomicInteger IDS = new AtomicInteger();

    final Socket socket = new Socket();
    private final InputStream in;

    Client(World.Router router) throws IOException {
        socket.connect(new InetSocketAddress(router.ip, router.front), 1_000);
        socket.setTcpNoDelay(true);
        in = Http.buffered(socket.getInputStream());
    }

    static String newId() {
        return String.format("%016x", 0x9c41d00000000000L + IDS.incrementAndGet());
    }

    /** The head of a request. */
    static String head(String method, String path, String id, long deadlineMs, int length, String more) {
        return method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: "
                + deadlineMs + "\r\nX-Credential: " + KEY + "\r\n" + more
                + (length > 0 || method.equals("POST") ? "Content-Length: " + length + "\r\n" : "") + "\r\n";
    }

    void send(String head, byte[] body) throws IOException {
        OutputStream out = socket.getOutputStream();
        out.write(head.getBytes(StandardCharsets.ISO_8859_1));
        out.write(body);
        out.flush();
    }

    /** Reads an answer; null if the connection ends without one. */
    Http.Message answer(long waitMs) throws IOException {
        socket.setSoTimeout((int) Math.max(1, waitMs));
        return Http.read(in, true);
    }

    InputStream in() {
        return in;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
