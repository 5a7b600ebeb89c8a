import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON: maps, lists, strings, longs, doubles, booleans, null. */
final class Json {
    private final String in;
    private int at;

    private Json(String in) {
        this.in = in;
    }

    static Object read(String text) {
        Json j = new Json(text);
        return j.value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) read(text);
    }

    /** Builds an object from names and values in turn. */
    static Map<String, Object> of(Object... pairs) {
        Map<String, Object> out = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            out.put((String) pairs[i], pairs[i + 1]);
        }
        return out;
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        switch (value) {
            case null -> out.append("null");
            case String s -> quote(s, out);
            case Map<?, ?> m -> {
                out.append('{');
                String comma = "";
                for (Map.Entry<?, ?> e : m.entrySet()) {
                    out.append(comma);
                    quote((String) e.getKey(), out);
                    out.append(':');
                    write(e.getValue(), out);
                    comma = ",";
                }
                out.append('}');
            }
            case Iterable<?> l -> {
                out.append('[');
                String comma = "";
                for (Object o : l) {
                    out.append(comma);
                    write(o, out);
                    comma = ",";
                }
                out.append(']');
            }
            default -> out.append(value);
        }
    }

    private static void quote(String s, StringBuilder out) {
        out.append('"');
        for (char c : s.toCharArray()) {
            if (c == '"' || c == '\\') {
                out.append('\\').append(c);
            } else if (c < ' ') {
                out.append(String.format("\\u%04x", (int) c));
            } else {
                out.append(c);
            }
        }
        out.append('"');
    }

    private Object value() {
        blank();
        char c = in.charAt(at);
        if (c == '{') {
            Map<String, Object> out = new LinkedHashMap<>();
            at++;
            blank();
            while (in.charAt(at) != '}') {
                String name = (String) value();
                blank();
                at++;
                out.put(name, value());
                blank();
                if (in.charAt(at) == ',') {
                    at++;
                    blank();
                }
            }
            at++;
            return out;
        }
        if (c == '[') {
            List<Object> out = new ArrayList<>();
            at++;
            blank();
            while (in.charAt(at) != ']') {
                out.add(value());
                blank();
                if (in.charAt(at) == ',') {
                    at++;
                    blank();
                }
            }
            at++;
            return out;
        }
        if (c == '"') {
            return string();
        }
        int from = at;
        while (at < in.length() && "+-.eE0123456789truefalsn".indexOf(in.charAt(at)) >= 0) {
            at++;
        }
        String word = in.substring(from, at);
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> word.matches("-?\\d+") ? (Object) Long.parseLong(word) : (Object) Double.parseDouble(word);
        };
    }

    private String string() {
        StringBuilder out = new StringBuilder();
        at++;
        while (in.charAt(at) != '"') {
            char c = in.charAt(at++);
            if (c != '\\') {
                out.append(c);
                continue;
            }
            char e = in.charAt(at++);
            switch (e) {
                case 'n' -> out.append('\n');
                case 't' -> out.append('\t');
                case 'r' -> out.append('\r');
                case 'b' -> out.append('\b');
                case 'f' -> out.append('\f');
                case 'u' -> {
                    out.append((char) Integer.parseInt(in.substring(at, at + 4), 16));
                    at += 4;
                }
                default -> out.append(e);
            }
        }
        at++;
        return out.toString();
    }

    private void blank() {
        while (at < in.length() && Character.isWhitespace(in.charAt(at))) {
            at++;
        }
    }
}
