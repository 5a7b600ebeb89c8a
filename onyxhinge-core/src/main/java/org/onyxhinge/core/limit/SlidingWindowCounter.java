package org.onyxhinge.core.limit;

import java.util.Arrays;

/**
 * Sliding-window counter over equal slices. A slice expires only once all of it is older than the window, so the count
 * is never below the true one.
 */
public final class SlidingWindowCounter {

    /** Slices per window; the count covers at most one tenth more than the window. */
    private static final int SLICES = 10;

    private final long sliceMs;
    private final long[] counts = new long[SLICES + 1];
    private long newestSlice = Long.MIN_VALUE;

    private SlidingWindowCounter(long windowMs) {
        this.sliceMs = Math.max(1, windowMs / SLICES);
    }

    /** Creates an empty counter over {@code windowMs}. */
    public static SlidingWindowCounter over(long windowMs) {
        return new SlidingWindowCounter(windowMs);
    }

    /** Counts one event. */
    public void add(long nowMs) {
        add(nowMs, 1);
    }

    /** Counts {@code amount}; a negative amount reverts recent counts. */
    public void add(long nowMs, long amount) {
        advance(nowMs);
        counts[slot(newestSlice)] += amount;
    }

    /** Distributes {@code amount} evenly over the window that ends now. */
    public void spread(long nowMs, long amount) {
        spread(nowMs, amount, sliceMs * SLICES);
    }

    /** Distributes {@code amount} evenly over the last {@code spanMs}, at most a window. */
    public void spread(long nowMs, long amount, long spanMs) {
        advance(nowMs);
        int slices = (int) Math.max(1, Math.min(SLICES, spanMs / sliceMs));
        for (int back = 0; back < slices; back++) {
            counts[slot(newestSlice - back)] += amount / slices;
        }
    }

    /** Resets the counter. */
    public void clear() {
        Arrays.fill(counts, 0);
    }

    /** Time until at least {@code amount} of the current count has expired. */
    public long timeUntilFreedMs(long nowMs, long amount) {
        advance(nowMs);
        long left = 0;
        for (int age = SLICES; age >= 0; age--) {
            left += counts[slot(newestSlice - age)];
            if (left >= amount) {
                return (newestSlice - age + SLICES + 1) * sliceMs - nowMs;
            }
        }
        return sliceMs * SLICES;
    }

    /** The count of the window that ends now. */
    public long total(long nowMs) {
        advance(nowMs);
        return Arrays.stream(counts).sum();
    }

    private void advance(long nowMs) {
        long slice = Math.floorDiv(nowMs, sliceMs);
        if (newestSlice == Long.MIN_VALUE || slice - newestSlice > SLICES) {
            Arrays.fill(counts, 0);
            newestSlice = slice;
        }
        while (newestSlice < slice) {
            newestSlice++;
            counts[slot(newestSlice)] = 0;
        }
    }

    private int slot(long slice) {
        return (int) Math.floorMod(slice, (long) counts.length);
    }
}
