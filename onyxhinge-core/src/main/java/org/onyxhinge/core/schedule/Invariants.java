package org.onyxhinge.core.schedule;

/**
 * Checks of the brief's promises made inside the program. Enabled by the system property {@code
 * onyxhinge.invariants=true} (tests and the load tool set it); a failed check throws {@link
 * InvariantViolation}.
 */
public final class Invariants {

    private static final boolean ENABLED = Boolean.getBoolean("onyxhinge.invariants");

    private Invariants() {}

    /** True when checks run. */
    public static boolean enabled() {
        return ENABLED;
    }

    /** Throws when checks run and {@code holds} is false. */
    public static void check(boolean holds, String promise, Object subject) {
        if (ENABLED && !holds) {
            throw new InvariantViolation(promise + ": " + subject);
        }
    }
}
