package org.onyxhinge.runtime;

import java.util.List;

/** Settings that cannot be used; the message names every bad key with its section and file. */
public final class SettingsException extends Exception {

    private static final long serialVersionUID = 1L;

    private final List<String> problems;

    /** Creates the error from one line per problem. */
    public SettingsException(String source, List<String> problems) {
        super(source + ": " + String.join("; ", problems));
        this.problems = List.copyOf(problems);
    }

    /** One line per problem, each naming {@code [section] key}. */
    public List<String> problems() {
        return problems;
    }
}
