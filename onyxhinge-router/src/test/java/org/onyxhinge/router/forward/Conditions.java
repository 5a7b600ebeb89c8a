package org.onyxhinge.router.forward;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Waits for what other threads bring about, for tests. */
public final class Conditions {

    private Conditions() {}

    /** Returns once {@code condition} holds; throws {@link AssertionError} when it does not in time. */
    public static void await(BooleanSupplier condition, long timeoutMs) {
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > endNs) {
                throw new AssertionError("not within " + timeoutMs + " ms");
            }
            Thread.onSpinWait();
        }
    }
}
