import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages from a socket. */
final class Http {

    private Http() {}

    /** A message: its first line, its headers with names in lower case, and its body. */
    record Message(String line, Map<String, String> headers, byte[] body) {

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        String[] words() {
            return line.split(" ", 3);
        }

        int status() {
            return Integer.parseInt(words()[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    static InputStream buffered(InputStream in) {
        return new BufferedInputStream(in, 65_536);
    }

    /** Reads a message's first line and headers; null if the connection ends before it. */
    static Message head(InputStream in) throws IOException {
        String line = line(in);
        while (line != null && line.isEmpty()) {
            line = line(in);
        }
        if (line == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String h = line(in); h == null || !h.isEmpty(); h = line(in)) {
            if (h == null) {
                throw new EOFException("head ended early");
            }
            int colon = h.indexOf(':');
            headers.put(h.substring(0, colon).trim().toLowerCase(Locale.ROOT), h.substring(colon + 1).trim());
        }
        return new Message(line, headers, new byte[0]);
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                if (out.size() == 0) {
                    return null;
                }
                throw new EOFException("line ended early");
            }
            if (c != '\r') {
                out.write(c);
            }
        }
        return out.toString(StandardCharsets.ISO_8859_1);
    }

    /**
     * Reads the body that a head announces.
     *
     * @param toEnd whether a body without length ends with the connection, as that of a response
     */
    static byte[] body(Message head, InputStream in, boolean toEnd) throws IOException {
        String length = head.header("Content-Length");
        if ("chunked".equalsIgnoreCase(head.header("Transfer-Encoding"))) {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            while (true) {
                String size = line(in);
                if (size == null) {
                    throw new EOFException("body ended early");
                }
                int n = Integer.parseInt(size.split(";")[0].trim(), 16);
                out.write(exactly(in, n));
                line(in);
                if (n == 0) {
                    return out.toByteArray();
                }
            }
        }
        if (length != null) {
            return exactly(in, Integer.parseInt(length));
        }
        return toEnd ? in.readAllBytes() : new byte[0];
    }

    private static byte[] exactly(InputStream in, int n) throws IOException {
        byte[] out = in.readNBytes(n);
        if (out.length < n) {
            throw new EOFException("body ended early");
        }
        return out;
    }

    /** Reads a request or response with its body; null if the connection ends before it. */
    static Message read(InputStream in, boolean toEnd) throws IOException {
        Message head = head(in);
        return head == null ? null : new Message(head.line(), head.headers(), body(head, in, toEnd));
    }
}
