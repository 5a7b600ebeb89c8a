package org.onyxhinge.core.text;

/** Text that another writer chose, as part of a log line: cut short, and without characters that end the line. */
public final class LogText {

    private static final int MAX_CHARS = 200;

    private LogText() {}

    /** The text of a value, at most 200 characters of it. */
    public static String of(Object value) {
        String text = String.valueOf(value);
        String head = text.length() > MAX_CHARS ? text.substring(0, MAX_CHARS) : text;
        StringBuilder out = new StringBuilder();
        head.chars()
                .forEach(
                        c -> out.append(Character.isISOControl(c) || Character.isSurrogate((char) c) ? '?' : (char) c));
        return text.length() > MAX_CHARS ? out + "... (" + text.length() + " characters)" : out.toString();
    }
}
