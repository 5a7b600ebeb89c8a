package org.onyxhinge.runtime;

import java.util.List;

/** Thrown for invalid settings; the message lists the file and every problem with its section and key. */
public final class SettingsException extends Exception {

    private static final long serialVersionUID = 1L;

    private final List<String> problems;

    /** Creates an exception for {@code source} from one line per problem. */
    public SettingsException(String source, List<String> problems) {
        super(source + ": " + String.join("; ", problems));
        this.problems = List.copyOf(problems);
    }

    /** One line per problem, prefixed by {@code [section] key}. */
    public List<String> problems() {
        return problems;
    }
}
