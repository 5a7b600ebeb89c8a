package org.onyxhinge.runtime;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;

import io.vertx.core.Future;

/**
 * Helpers for {@code main} methods: exit codes, waiting for a future on the main thread, and running a
 * node until SIGTERM or SIGINT, with an orderly shutdown.
 */
public final class Launch {

    /** Exit code for a command line that cannot be parsed. */
    public static final int EXIT_USAGE = 2;
    /** Exit code for invalid settings. */
    public static final int EXIT_SETTINGS = 3;
    /** Exit code for a failure at run time. */
    public static final int EXIT_FAILURE = 4;

    private Launch() {}

    /** Blocks until a future completes; not for event-loop threads. A failure is thrown as an unchecked exception. */
    public static <T> T await(Future<T> future, long timeoutMs) {
        try {
            return future.toCompletionStage().toCompletableFuture().get(timeoutMs, TimeUnit.MILLISECONDS);
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause().getMessage(), e.getCause());
        } catch (TimeoutException e) {
            throw new IllegalStateException("timed out after " + timeoutMs + " ms", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }

    /** Blocks until JVM shutdown starts; a shutdown hook then runs {@code stop} and waits for its completion. */
    public static void runUntilStopped(Supplier<Future<Void>> stop, long stopTimeoutMs) {
        CountDownLatch stopped = new CountDownLatch(1);
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            try {
                                await(stop.get(), stopTimeoutMs);
                            } finally {
                                stopped.countDown();
                            }
                        },
                        "planned-stop"));
        try {
            stopped.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Prints a one-line error and exits with {@code code}. */
    public static void fail(int code, String message) {
        System.err.println("error: " + message);
        System.exit(code);
    }
}
