package org.onyxhinge.router.forward;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Waits in tests for conditions that other threads bring about. */
public final class Conditions {

    private Conditions() {}

    /** Returns once {@code condition} holds; throws {@link AssertionError} if it does not within the timeout. */
    public static void await(BooleanSupplier condition, long timeoutMs) {
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > endNs) {
                throw new AssertionError("condition not met within " + timeoutMs + " ms");
            }
            Thread.onSpinWait();
        }
    }
}
