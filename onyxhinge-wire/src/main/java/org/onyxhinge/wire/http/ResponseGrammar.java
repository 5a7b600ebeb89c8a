package org.onyxhinge.wire.http;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/**
 * Reads the responses on one HTTP/1.1 connection byte by byte and finds the first byte that no response can hold there
 * (RFC 9110, sections 5 and 15; RFC 9112, sections 2 to 7). It is stricter than decoders, which repair what they read:
 * a status has three digits from 100 to 599, the name of a field consists of token characters and stands directly
 * before its colon, and the end of a body is marked in one way only. What the standard lets a recipient accept, such as
 * an empty reason, blanks around a value, folded lines and bytes over 127, is accepted. Not thread-safe.
 */
public final class ResponseGrammar {

    /** Longer lines are left to the limits of whatever decodes the response. */
    private static final int MAX_LINE_BYTES = 1 << 18;

    /** A longer number does not fit into a long. */
    private static final int MAX_LENGTH_DIGITS = 18;

    private static final int MAX_CHUNK_DIGITS = 15;
    private static final int INITIAL_LINE_BYTES = 256;
    private static final int HEX = 16;

    private static final int MIN_STATUS = 100;
    private static final int MAX_STATUS = 599;
    private static final int FIRST_FINAL_STATUS = 200;
    private static final int SWITCHING_PROTOCOLS = 101;
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    private static final int STATUS_START = "HTTP/1.1 ".length();
    private static final int STATUS_END = STATUS_START + 3;
    private static final String TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~";
    private static final int DELETE = 127;

    /** What the next byte belongs to. */
    private enum Part {
        STATUS_LINE,
        FIELD_LINE,
        CHUNK_SIZE_LINE,
        CHUNK_END,
        TRAILER_LINE,
        /** A body, or chunk, of known length. */
        COUNTED_BODY,
        /** A body that ends with the connection, or what follows a change of protocol. */
        BODY_UNTIL_CLOSE
    }

    private Part part = Part.STATUS_LINE;
    private byte[] line = new byte[INITIAL_LINE_BYTES];
    private int lineLength;
    private boolean bodiless;
    private long bodyBytesLeft;
    private boolean chunked;
    private int status;
    private boolean versionOneZero;
    /** Whether a line that begins with a blank would continue a field that may be continued. */
    private boolean foldable;

    private Optional<String> length = Optional.empty();
    private Optional<String> coding = Optional.empty();
    private String violation = "";

    private ResponseGrammar() {}

    /** Creates a grammar for a new connection. */
    public static ResponseGrammar create() {
        return new ResponseGrammar();
    }

    /** Sets whether the next final response has no body whatever its head says, as one to a HEAD request. */
    public void expectBodiless(boolean nextIsBodiless) {
        bodiless = nextIsBodiless;
    }

    /** Whether a body is being read that only the end of the connection ends. */
    public boolean isInBodyUntilClose() {
        return part == Part.BODY_UNTIL_CLOSE && status != SWITCHING_PROTOCOLS;
    }

    /** Number of the next bytes that are part of a body, whatever they are. */
    public long bodyBytes() {
        return switch (part) {
            case COUNTED_BODY -> bodyBytesLeft;
            case BODY_UNTIL_CLOSE -> Long.MAX_VALUE;
            case STATUS_LINE, FIELD_LINE, CHUNK_SIZE_LINE, CHUNK_END, TRAILER_LINE -> 0;
        };
    }

    /** Skips bytes of a body, at most {@link #bodyBytes()}. */
    public void skipBody(long bytes) {
        if (part == Part.COUNTED_BODY) {
            bodyBytesLeft -= bytes;
            if (bodyBytesLeft == 0) {
                begin(chunked ? Part.CHUNK_END : Part.STATUS_LINE);
            }
        }
    }

    /**
     * Reads a byte that is not part of a body.
     *
     * @return false if no response holds it here; nothing further may be read then
     */
    public boolean accept(byte b) {
        if (b != '\n') {
            return append(b);
        }
        if (lineLength == 0 || line[lineLength - 1] != '\r') {
            return reject("line feed without carriage return");
        }
        lineLength--;
        boolean valid = isText() && endLine();
        lineLength = 0;
        return valid;
    }

    /** Why the last byte was rejected. */
    public String violation() {
        return violation;
    }

    private boolean append(byte b) {
        boolean first = lineLength == 0;
        if (first && part == Part.STATUS_LINE && b != 'H') {
            return reject("no status line");
        }
        if (lineLength == MAX_LINE_BYTES) {
            return reject("line too long");
        }
        if (lineLength == line.length) {
            line = Arrays.copyOf(line, lineLength * 2);
        }
        line[lineLength++] = b;
        return true;
    }

    private boolean reject(String why) {
        violation = why;
        return false;
    }

    private void begin(Part next) {
        part = next;
        foldable = false;
    }

    /** Whether the line has no control characters but tabs. */
    private boolean isText() {
        for (int i = 0; i < lineLength; i++) {
            int c = line[i] & 0xff;
            if (c < ' ' && c != '\t' || c == DELETE) {
                return reject("control character");
            }
        }
        return true;
    }

    private boolean endLine() {
        return switch (part) {
            case STATUS_LINE -> statusLine();
            case FIELD_LINE -> lineLength == 0 ? endOfHead() : fieldLine();
            case CHUNK_SIZE_LINE -> chunkSizeLine();
            case CHUNK_END -> chunkEnd();
            case TRAILER_LINE -> trailerLine();
            case COUNTED_BODY, BODY_UNTIL_CLOSE -> throw new IllegalStateException("a line in a body");
        };
    }

    private String text(int from, int to) {
        return new String(line, from, to - from, StandardCharsets.ISO_8859_1);
    }

    private boolean statusLine() {
        String text = text(0, lineLength);
        if (!text.startsWith("HTTP/1.1 ") && !text.startsWith("HTTP/1.0 ")) {
            return reject("no HTTP/1 status line");
        }
        boolean threeDigits = lineLength >= STATUS_END
                && (lineLength == STATUS_END || line[STATUS_END] == ' ')
                && digits(STATUS_START, STATUS_END);
        status = threeDigits ? Integer.parseInt(text.substring(STATUS_START, STATUS_END)) : 0;
        if (status < MIN_STATUS || status > MAX_STATUS) {
            return reject("status is not a number from 100 to 599");
        }
        versionOneZero = text.startsWith("HTTP/1.0");
        length = Optional.empty();
        coding = Optional.empty();
        chunked = false;
        begin(Part.FIELD_LINE);
        return true;
    }

    private boolean digits(int from, int to) {
        for (int i = from; i < to; i++) {
            if (line[i] < '0' || line[i] > '9') {
                return false;
            }
        }
        return from < to;
    }

    /** A line of a field; one that begins with a blank continues the field before it. */
    private boolean fieldLine() {
        boolean folded = isBlank(line[0]);
        int start = 0;
        while (folded && start < lineLength && isBlank(line[start])) {
            start++;
        }
        int colon = start;
        while (colon < lineLength && isTokenCharacter(line[colon])) {
            colon++;
        }
        boolean named = colon > start && colon < lineLength && line[colon] == ':';
        if (folded) {
            // It may be a field of its own whose sender did not mean to continue another one.
            return foldable && !named || reject("blank before the name of a field");
        }
        return named ? field(text(0, colon), text(colon + 1, lineLength).strip()) : reject("no name of a field");
    }

    private boolean field(String name, String value) {
        foldable = true;
        if (part == Part.TRAILER_LINE) {
            return true;
        }
        switch (name.toLowerCase(Locale.ROOT)) {
            case "content-length" -> {
                foldable = false;
                if (length.isPresent() || !value.matches("[0-9]{1," + MAX_LENGTH_DIGITS + "}")) {
                    return reject("no single length");
                }
                length = Optional.of(value);
            }
            case "transfer-encoding" -> {
                foldable = false;
                if (coding.isPresent() || !value.equalsIgnoreCase("chunked")) {
                    return reject("transfer coding is not only chunked");
                }
                coding = Optional.of(value);
            }
            default -> {
                // Says nothing about where the response ends.
            }
        }
        return true;
    }

    private static boolean isBlank(byte b) {
        return b == ' ' || b == '\t';
    }

    private static boolean isTokenCharacter(byte b) {
        return b >= '0' && b <= '9' || b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || TOKEN_SYMBOLS.indexOf(b) >= 0;
    }

    private boolean endOfHead() {
        if (coding.isPresent() && (length.isPresent() || versionOneZero)) {
            return reject("transfer coding beside a length, or of HTTP/1.0");
        }
        boolean interim = status < FIRST_FINAL_STATUS;
        boolean empty = interim || bodiless || status == NO_CONTENT || status == NOT_MODIFIED;
        bodiless &= interim;
        if (status == SWITCHING_PROTOCOLS) {
            begin(Part.BODY_UNTIL_CLOSE);
        } else if (empty) {
            begin(Part.STATUS_LINE);
        } else if (coding.isPresent()) {
            chunked = true;
            begin(Part.CHUNK_SIZE_LINE);
        } else if (length.isPresent()) {
            count(Long.parseLong(length.get()));
        } else {
            begin(Part.BODY_UNTIL_CLOSE);
        }
        return true;
    }

    private void count(long bytes) {
        bodyBytesLeft = bytes;
        begin(bytes == 0 ? Part.STATUS_LINE : Part.COUNTED_BODY);
    }

    /** The size of a chunk; what follows a semicolon is ignored. */
    private boolean chunkSizeLine() {
        int end = 0;
        while (end < lineLength && Character.digit(line[end], HEX) >= 0) {
            end++;
        }
        int rest = end;
        while (rest < lineLength && isBlank(line[rest])) {
            rest++;
        }
        boolean sized = end > 0 && end <= MAX_CHUNK_DIGITS;
        if (!sized || end < lineLength && (rest == lineLength || line[rest] != ';')) {
            return reject("size of a chunk is not a hexadecimal number");
        }
        long size = Long.parseLong(text(0, end), HEX);
        if (size == 0) {
            begin(Part.TRAILER_LINE);
        } else {
            count(size);
        }
        return true;
    }

    private boolean chunkEnd() {
        begin(Part.CHUNK_SIZE_LINE);
        return lineLength == 0 || reject("chunk is longer than its size");
    }

    private boolean trailerLine() {
        if (lineLength > 0) {
            return fieldLine();
        }
        begin(Part.STATUS_LINE);
        return true;
    }
}
