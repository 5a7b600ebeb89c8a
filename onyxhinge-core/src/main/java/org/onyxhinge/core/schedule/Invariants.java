package org.onyxhinge.core.schedule;

/**
 * Runtime checks of the scheduler's invariants. Enabled by the system property {@code onyxhinge.invariants=true} (set
 * by the tests and the load tool); a failed check throws {@link InvariantViolation}.
 */
public final class Invariants {

    private static final boolean ENABLED = Boolean.getBoolean("onyxhinge.invariants");

    private Invariants() {}

    /** True when checks are enabled. */
    public static boolean enabled() {
        return ENABLED;
    }

    /** Throws when checks are enabled and {@code condition} is false. */
    public static void check(boolean condition, String invariant, Object subject) {
        if (ENABLED && !condition) {
            throw new InvariantViolation(invariant + ": " + subject);
        }
    }
}
