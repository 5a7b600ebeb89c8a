import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/** A client with one connection at a time. */
final class Client implements AutoCloseable {
    private static final AtomicInteger NEXT = new AtomicInteger(1);
    final Socket socket = new Socket();
    final InputStream in;
    final OutputStream out;

    /** What a client has got: status 0 if the connection ended before a head. */
    record Answer(int status, Http.Head head, byte[] body, boolean whole, String error) {
        static Answer none(String error) {
            return new Answer(0, null, new byte[0], false, error);
        }
    }

    Client(int port) throws IOException {
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 1_000);
        in = new BufferedInputStream(socket.getInputStream());
        out = socket.getOutputStream();
    }

    static String newId() {
        return String.format("%016x", 0x9c41000000000000L + NEXT.getAndIncrement());
    }

    static String head(String method, String path, String id, long deadlineMs, String more) {
        return method + " " + path + " HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: "
                + deadlineMs + "\r\nX-Credential: i9n73hh2b9wu3fexd9dn\r\n" + more + "\r\n";
    }

    void write(String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    /** Reads the answer to the request that was sent. */
    Answer read(long waitMs) {
        Http.Head head = null;
        try {
            socket.setSoTimeout((int) waitMs);
            head = Http.head(in);
            if (head == null) {
                return Answer.none("closed");
            }
            return new Answer(head.status(), head, Http.body(head, in), true, "");
        } catch (IOException e) {
            return head == null ? Answer.none(e.toString()) : new Answer(head.status(), head, new byte[0], false, e.toString());
        }
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // Already closed.
        }
    }
}
