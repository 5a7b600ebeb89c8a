package org.onyxhinge.runtime;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import io.vertx.core.Context;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

class ProgressLimitTest {

    private static final long FIRST_MS = 100;
    private static final long PART_MS = 200;
    private static final long TOTAL_MS = 800;
    private static final long FAR_MS = 5_000;

    private final Vertx vertx = Vertx.vertx();
    private final Context context = vertx.getOrCreateContext();
    private final Promise<Long> expiredAfterMs = Promise.promise();
    private final AtomicReference<ProgressLimit> limit = new AtomicReference<>();

    @AfterEach
    void close() {
        Launch.await(vertx.close(), FAR_MS);
    }

    private void start(long totalMs) {
        long startNs = System.nanoTime();
        context.runOnContext(v -> limit.set(ProgressLimit.start(
                vertx,
                FIRST_MS,
                PART_MS,
                totalMs,
                () -> expiredAfterMs.complete(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs)))));
    }

    private void progressEach(long intervalMs) {
        context.runOnContext(v -> vertx.setPeriodic(
                intervalMs, t -> context.runOnContext(w -> limit.get().progress())));
    }

    private long expiredAfterMs() {
        return Launch.await(expiredAfterMs.future(), FAR_MS);
    }

    @Test
    void firstPartIsLate() {
        start(FAR_MS);
        assertThat(expiredAfterMs(), greaterThanOrEqualTo(FIRST_MS));
    }

    /** Guards against giving up what keeps arriving. */
    @Test
    void partsKeepArrivingUntilTheWholeIsLate() {
        start(TOTAL_MS);
        progressEach(FIRST_MS / 2);
        assertThat(expiredAfterMs(), greaterThanOrEqualTo(TOTAL_MS));
    }

    @Test
    void endedLimitsDoNotExpire() throws InterruptedException {
        start(FAR_MS);
        context.runOnContext(v -> limit.get().close());
        Thread.sleep(2 * FIRST_MS);
        assertThat(expiredAfterMs.future().isComplete(), is(false));
    }

    /** Guards against giving up what has arrived while the event loop was late. */
    @Test
    void partsThatLieUnreadAreInTime() throws InterruptedException {
        start(FAR_MS);
        context.runOnContext(v -> {
            sleep(2 * FIRST_MS);
            context.runOnContext(w -> limit.get().progress());
        });
        Thread.sleep(FIRST_MS + PART_MS);
        assertThat(expiredAfterMs.future().isComplete(), is(false));
    }

    private static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
