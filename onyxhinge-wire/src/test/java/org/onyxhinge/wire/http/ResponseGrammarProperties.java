package org.onyxhinge.wire.http;

import java.nio.charset.StandardCharsets;
import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/** The grammar against a naive reading of whole texts, written from the standard, on changed responses. */
class ResponseGrammarProperties {

    private static final String[] SOUND = {
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nA: b\r\n\r\nbodyHTTP/1.0 404 \r\nB:\tc \r\nContent-Length:0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\nA\r\n0123456789\r\n0\r\nT: 1\r\n\r\n",
        "HTTP/1.1 100 C\r\n\r\nHTTP/1.1 204 N\r\nX: folded\r\n \tvalue\r\n\r\nHTTP/1.1 503\r\nA: \u00e4\r\n\r\nrest",
    };

    /** Bytes that decide something, more often than others. */
    private static final String DECISIVE = "\r\n \t:;,0a9fgHTP/1.\0\1\u007f\u00ff+-x";

    private static final String TEXT = "[\\t\\x20-\\x7e\\x80-\\xff]*";
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.([01]) ([1-5][0-9][0-9])( " + TEXT + ")?");
    private static final Pattern FIELD = Pattern.compile("([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \\t]*(" + TEXT + "?)[ \\t]*");
    private static final Pattern NAMED_FOLD = Pattern.compile("[ \\t]+[!#$%&'*+.^_`|~0-9A-Za-z-]+:" + TEXT);
    private static final Pattern FOLD = Pattern.compile("[ \\t]" + TEXT);
    private static final Pattern CHUNK_SIZE = Pattern.compile("([0-9A-Fa-f]{1,15})([ \\t]*;" + TEXT + ")?");

    /** Reads a text to its end; the result is whether each part of it can stand there, cut at the end or not. */
    private static final class Reference {

        private final String text;
        private int at;
        private String length;
        private String coding;

        private Reference(String text) {
            this.text = text;
        }

        /** The next whole line; null at the end of the text. Throws if the line cannot end as it does. */
        private String line() {
            int end = text.indexOf('\n', at);
            if (end < 0) {
                at = text.length();
                return null;
            }
            String line = text.substring(at, end);
            at = end + 1;
            if (!line.endsWith("\r")) {
                throw new IllegalArgumentException("bare line feed");
            }
            return line.substring(0, line.length() - 1);
        }

        private static Matcher require(Pattern pattern, String line) {
            Matcher m = pattern.matcher(line);
            if (!m.matches()) {
                throw new IllegalArgumentException(line);
            }
            return m;
        }

        private void responses() {
            while (at < text.length()) {
                if (text.charAt(at) != 'H') {
                    throw new IllegalArgumentException("junk");
                }
                String statusLine = line();
                if (statusLine == null) {
                    return;
                }
                Matcher m = require(STATUS_LINE, statusLine);
                length = null;
                coding = null;
                if (!fields(false)) {
                    return;
                }
                int status = Integer.parseInt(m.group(2));
                if (coding != null && (length != null || m.group(1).equals("0"))) {
                    throw new IllegalArgumentException("framing");
                }
                if (status == 101) {
                    return;
                }
                if (status < 200 || status == 204 || status == 304) {
                    continue;
                }
                if (coding != null) {
                    if (!chunks()) {
                        return;
                    }
                } else if (length == null) {
                    return;
                } else {
                    at = (int) Math.min(text.length(), at + Long.parseLong(length));
                }
            }
        }

        /** Returns false at the end of the text. */
        private boolean fields(boolean trailers) {
            boolean foldable = false;
            for (String line = line(); line != null; line = line()) {
                if (line.isEmpty()) {
                    return true;
                }
                if (line.startsWith(" ") || line.startsWith("\t")) {
                    require(FOLD, line);
                    if (!foldable || NAMED_FOLD.matcher(line).matches()) {
                        throw new IllegalArgumentException("fold");
                    }
                } else {
                    Matcher m = require(FIELD, line);
                    foldable = trailers || !framing(m.group(1), m.group(2).strip());
                }
            }
            return false;
        }

        private boolean framing(String name, String value) {
            if (name.equalsIgnoreCase("Content-Length")) {
                if (length != null || !value.matches("[0-9]{1,18}")) {
                    throw new IllegalArgumentException("length");
                }
                length = value;
                return true;
            }
            if (name.equalsIgnoreCase("Transfer-Encoding")) {
                if (coding != null || !value.equalsIgnoreCase("chunked")) {
                    throw new IllegalArgumentException("coding");
                }
                coding = value;
                return true;
            }
            return false;
        }

        private boolean chunks() {
            while (true) {
                String line = line();
                if (line == null) {
                    return false;
                }
                long size = Long.parseLong(require(CHUNK_SIZE, line).group(1), 16);
                if (size == 0) {
                    return fields(true);
                }
                if (size >= text.length() - at) {
                    at = text.length();
                    return false;
                }
                at += (int) size;
                String end = line();
                if (end == null) {
                    return false;
                }
                if (!end.isEmpty()) {
                    throw new IllegalArgumentException("chunk end");
                }
            }
        }

        private static boolean accepts(String text) {
            try {
                new Reference(text).responses();
                return true;
            } catch (IllegalArgumentException e) {
                return false;
            }
        }
    }

    private static boolean grammarAccepts(String text) {
        ResponseGrammar grammar = ResponseGrammar.create();
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        int i = 0;
        while (i < bytes.length) {
            long body = Math.min(grammar.bodyBytes(), bytes.length - i);
            if (body > 0) {
                grammar.skipBody(body);
                i += (int) body;
            } else if (!grammar.accept(bytes[i++])) {
                return false;
            }
        }
        return true;
    }

    private static String changed(String sound, int changes, Random random) {
        StringBuilder out = new StringBuilder(sound);
        for (int i = 0; i < changes && !out.isEmpty(); i++) {
            int at = random.nextInt(out.length());
            char c = random.nextInt(4) > 0
                    ? DECISIVE.charAt(random.nextInt(DECISIVE.length()))
                    : (char) random.nextInt(256);
            switch (random.nextInt(4)) {
                case 0 -> out.setCharAt(at, c);
                case 1 -> out.insert(at, c);
                case 2 -> out.deleteCharAt(at);
                default -> out.insert(at, out.substring(at, Math.min(out.length(), at + 1 + random.nextInt(20))));
            }
        }
        return out.toString();
    }

    @Property(tries = 20_000, seed = "84")
    void readsLikeTheReference(@ForAll @IntRange(min = 0, max = 4) int changes, @ForAll long seed) {
        Random random = new Random(seed);
        String text = changed(SOUND[random.nextInt(SOUND.length)], changes, random);
        assertThat(text, grammarAccepts(text), is(Reference.accepts(text)));
        assertThat(changes > 0 || grammarAccepts(text), is(true));
    }
}
