package org.onyxhinge.core.limit;

/** What a router knows, when it begins to count a quota, of what was used in the window before. */
public sealed interface PastUse {

    /** Nothing was used that is not known here. */
    record None() implements PastUse {}

    /** Nothing is known: the router has just started. */
    record Unknown() implements PastUse {}

    /**
     * All that was used until a moment is known, from a record that outlasts the routers.
     *
     * @param units what was used in the window that ended at that moment
     * @param agoMs how long ago that was
     * @param unseenMs the part of that time in which other routers may have let calls through that nobody will tell of
     * @param toleratedUnits what of that may go uncounted: a part of what operators tolerate beyond a limit
     */
    record Recorded(long units, long agoMs, long unseenMs, long toleratedUnits) implements PastUse {}
}
