package org.onyxhinge.core.order;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/**
 * The operation that an order requests from a target. The wire format uses the ordinal: append new kinds at the end.
 */
public enum OrderKind {
    /** Load a model; the argument names it. */
    LOAD_MODEL,
    /** Load an adapter; the argument names it. */
    LOAD_ADAPTER,
    /** Switch to a version; the argument names it. */
    SET_VERSION,
    /** Change the engine's role, for example prefill or decode; the argument names it. */
    SET_ROLE;

    /** The name used on the command line and in requests to targets, for example {@code load-model}. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** The kind with this label, or empty. */
    public static Optional<OrderKind> ofLabel(String label) {
        return Arrays.stream(values()).filter(k -> k.label().equals(label)).findFirst();
    }
}
