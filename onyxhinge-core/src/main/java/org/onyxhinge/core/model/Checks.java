package org.onyxhinge.core.model;

import java.util.regex.Pattern;

/** Argument checks shared by the model records; each error message names the field. */
final class Checks {

    private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9._-]{0,62}");

    private Checks() {}

    static void name(String field, String value) {
        if (value == null || !NAME.matcher(value).matches()) {
            throw new IllegalArgumentException(
                    field + " name must match " + NAME.pattern() + " but was '" + value + "'");
        }
    }

    static void atLeast(String field, long value, long min) {
        if (value < min) {
            throw new IllegalArgumentException(field + " must be at least " + min + " but was " + value);
        }
    }
}
