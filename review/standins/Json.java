import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader for the calls that the store stand-in gets. */
final class Json {

    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    /** Parses an object. */
    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) new Json(text).value();
    }

    /** Encodes a string with its quotes. */
    static String quote(String s) {
        StringBuilder out = new StringBuilder("\"");
        for (char c : s.toCharArray()) {
            if (c == '"' || c == '\\') {
                out.append('\\').append(c);
            } else if (c < ' ') {
                out.append(String.format("\\u%04x", (int) c));
            } else {
                out.append(c);
            }
        }
        return out.append('"').toString();
    }

    private char next() {
        while (Character.isWhitespace(text.charAt(at))) {
            at++;
        }
        return text.charAt(at);
    }

    private Object value() {
        char c = next();
        if (c == '{') {
            Map<String, Object> out = new LinkedHashMap<>();
            at++;
            while (next() != '}') {
                String key = string();
                next();
                at++;
                out.put(key, value());
                if (next() == ',') {
                    at++;
                }
            }
            at++;
            return out;
        }
        if (c == '[') {
            List<Object> out = new ArrayList<>();
            at++;
            while (next() != ']') {
                out.add(value());
                if (next() == ',') {
                    at++;
                }
            }
            at++;
            return out;
        }
        if (c == '"') {
            return string();
        }
        int from = at;
        while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) {
            at++;
        }
        String word = text.substring(from, at);
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> Double.valueOf(word);
        };
    }

    private String string() {
        next();
        at++;
        StringBuilder out = new StringBuilder();
        while (text.charAt(at) != '"') {
            char c = text.charAt(at++);
            if (c == '\\') {
                char e = text.charAt(at++);
                switch (e) {
                    case 'n' -> out.append('\n');
                    case 't' -> out.append('\t');
                    case 'r' -> out.append('\r');
                    case 'b' -> out.append('\b');
                    case 'f' -> out.append('\f');
                    case 'u' -> {
                        out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                        at += 4;
                    }
                    default -> out.append(e);
                }
            } else {
                out.append(c);
            }
        }
        at++;
        return out.toString();
    }
}
