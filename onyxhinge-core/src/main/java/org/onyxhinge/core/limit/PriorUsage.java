package org.onyxhinge.core.limit;

/** What a router knows, when it starts to count a quota, about usage in the preceding window. */
public sealed interface PriorUsage {

    /** No usage other than what this router counts itself. */
    record None() implements PriorUsage {}

    /** Nothing is known because the router has just started. */
    record Unknown() implements PriorUsage {}

    /**
     * All usage up to some time is known from a record that outlives the routers.
     *
     * @param units usage in the window that ended at that time
     * @param elapsedMs time since then
     * @param unobservedMs the part of that time in which other routers may have admitted calls that no one will report
     * @param toleratedUnits units that may go uncounted: a part of the overrun that operators tolerate beyond a limit
     */
    record Recorded(long units, long elapsedMs, long unobservedMs, long toleratedUnits) implements PriorUsage {}

    /** Upper bound on the wall-clock skew between VMs, including a clock step on one of them. */
    long MAX_CLOCK_SKEW_MS = 3_000;

    /**
     * Interprets a record that another VM wrote. A record that appears to be from the future means that one of the two
     * clocks was stepped: then none of its usage is assumed to have left the window yet, and the unobserved time is
     * assumed to be the maximum.
     *
     * @param units usage in the window before the record was written
     * @param ageMs age of the record when it was read, by the reader's wall clock; negative where that is behind the
     *     writer's
     * @param sinceMs time since the record was read
     */
    static PriorUsage recorded(long units, long ageMs, long sinceMs, long windowMs, long toleratedUnits) {
        if (ageMs < -MAX_CLOCK_SKEW_MS || ageMs >= windowMs) {
            return new Unknown();
        }
        return ageMs < 0
                ? new Recorded(units, sinceMs, MAX_CLOCK_SKEW_MS, toleratedUnits)
                : new Recorded(units, ageMs + sinceMs, ageMs, toleratedUnits);
    }
}
