import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads HTTP/1.1 messages from a socket. */
final class Http {
    private Http() {}

    /** A head: its first line, and its fields by lower-case name. */
    record Head(String line, Map<String, String> fields) {
        String field(String name) {
            return fields.get(name.toLowerCase(Locale.ROOT));
        }

        String method() {
            return line.split(" ")[0];
        }

        String target() {
            return line.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(line.split(" ")[1]);
        }
    }

    /** Reads a head; null if the connection ends before its first byte. */
    static Head head(InputStream in) throws IOException {
        String line = line(in);
        while (line != null && line.isEmpty()) {
            line = line(in);
        }
        if (line == null) {
            return null;
        }
        Map<String, String> fields = new TreeMap<>();
        for (String next = need(line(in)); !next.isEmpty(); next = need(line(in))) {
            int colon = next.indexOf(':');
            fields.put(next.substring(0, colon).trim().toLowerCase(Locale.ROOT), next.substring(colon + 1).trim());
        }
        return new Head(line, fields);
    }

    private static String need(String line) throws IOException {
        if (line == null) {
            throw new EOFException("connection ended in a head");
        }
        return line;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        int c = in.read();
        if (c < 0) {
            return null;
        }
        while (c != '\n') {
            if (c < 0) {
                throw new EOFException("connection ended in a line");
            }
            if (c != '\r') {
                out.write(c);
            }
            c = in.read();
        }
        return out.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads a body that has a length or chunks; none otherwise. */
    static byte[] body(Head head, InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        if ("chunked".equalsIgnoreCase(head.field("Transfer-Encoding"))) {
            while (true) {
                int size = Integer.parseInt(need(line(in)).split(";")[0].trim(), 16);
                if (size == 0) {
                    while (!need(line(in)).isEmpty()) {
                        // A trailer field.
                    }
                    return out.toByteArray();
                }
                out.write(exactly(in, size));
                need(line(in));
            }
        }
        String length = head.field("Content-Length");
        return length == null ? new byte[0] : exactly(in, Integer.parseInt(length));
    }

    static byte[] exactly(InputStream in, int size) throws IOException {
        byte[] out = in.readNBytes(size);
        if (out.length < size) {
            throw new EOFException("connection ended in a body after " + out.length + " of " + size + " bytes");
        }
        return out;
    }
}
