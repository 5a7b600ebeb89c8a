package org.onyxhinge.core.place;

/**
 * How long a call would probably wait for a place, and what that was worked out from.
 *
 * @param waitMs the wait
 * @param ahead calls that go before it, here and at the peers
 * @param freedPerSecond places that fall free in a second, for all routers
 * @param urgentPerSecond calls that arrive in a second at all routers and would go before it
 */
public record WaitEstimate(long waitMs, int ahead, double freedPerSecond, double urgentPerSecond) {

    private static final double MS_PER_SECOND = 1_000;

    /** Part of the places falling free that is always assumed left for a rank, so that a wait stays finite. */
    private static final double LEAST_PART_LEFT = 0.05;

    static WaitEstimate of(int ahead, double freedPerSecond, double urgentPerSecond) {
        double left = Math.max(freedPerSecond - urgentPerSecond, freedPerSecond * LEAST_PART_LEFT);
        return new WaitEstimate((long) ((ahead + 1) / left * MS_PER_SECOND), ahead, freedPerSecond, urgentPerSecond);
    }
}
