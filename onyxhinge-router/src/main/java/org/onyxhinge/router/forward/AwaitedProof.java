package org.onyxhinge.router.forward;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import io.vertx.core.Vertx;
import org.onyxhinge.runtime.ReadBarrier;
import org.onyxhinge.wire.MonotonicClock;

/**
 * What waits for a newer proof of something that was read from the store. If reads have failed, and no proof has come
 * for a time, nothing waits any more until one comes: the store is away for all that can be asked. A read that fails
 * shows nothing by itself. Confined to the event loop.
 */
final class AwaitedProof {

    /**
     * Enough for some reads, of which each may be refused or lost, and for several routers to be asked. All ways have
     * been tried before, as they begin before the proof is too old.
     */
    private static final long MAX_WAIT_MS = 600;

    /** As long takes only a long configuration, or a router that lacks processor time. */
    private static final long MAX_WAIT_WITHOUT_FAILURE_MS = 1_000;

    /** Between two requests for a proof that nothing waits for. */
    private static final long ASK_INTERVAL_MS = 500;

    private static final long NEVER_MS = Long.MIN_VALUE / 2;

    private final Vertx vertx;
    private final ReadBarrier reads;
    private final Set<Runnable> waiting = new LinkedHashSet<>();
    private Runnable ask = () -> {};
    private long lastAskedAtMs = NEVER_MS;
    private boolean expected = true;
    /** Whether reads have failed since the last proof. */
    private boolean readsFailed;

    private long waitingSinceMs;
    /** Negative while nothing waits. */
    private long timerId = -1;

    AwaitedProof(Vertx vertx, ReadBarrier reads) {
        this.vertx = vertx;
        this.reads = reads;
    }

    /** Sets what asks for a newer proof. */
    void askBy(Runnable newAsk) {
        ask = newAsk;
    }

    /**
     * Asks for a newer proof and runs an action once there is one, or once none is to be expected.
     *
     * @return false, without effect on the action, if none is to be expected now
     */
    boolean await(Runnable action) {
        long nowMs = MonotonicClock.nowMs();
        if (expected || nowMs - lastAskedAtMs >= ASK_INTERVAL_MS) {
            lastAskedAtMs = nowMs;
            ask.run();
        }
        if (!expected) {
            return false;
        }
        waiting.add(action);
        if (timerId < 0) {
            waitingSinceMs = nowMs;
            expireAfter(MAX_WAIT_MS);
        }
        return true;
    }

    private void expireAfter(long delayMs) {
        timerId = vertx.setTimer(
                delayMs,
                t -> reads.afterRead(() -> {
                    if (timerId == t) {
                        expire();
                    }
                }));
    }

    private void expire() {
        long restMs = MAX_WAIT_WITHOUT_FAILURE_MS - (MonotonicClock.nowMs() - waitingSinceMs);
        if (readsFailed) {
            impossible();
        } else if (restMs > 0) {
            expireAfter(restMs);
        } else {
            release();
        }
    }

    /** A read that could have brought a proof has failed. */
    void readFailed() {
        readsFailed = true;
    }

    /** There is a proof that is new enough. */
    void proved() {
        expected = true;
        readsFailed = false;
        release();
    }

    /** No way is left by which a proof could come now. */
    void impossible() {
        expected = false;
        lastAskedAtMs = NEVER_MS;
        release();
    }

    private void release() {
        if (timerId >= 0) {
            vertx.cancelTimer(timerId);
            timerId = -1;
        }
        List<Runnable> released = List.copyOf(waiting);
        waiting.clear();
        released.forEach(Runnable::run);
    }

    /** Removes an action. */
    void remove(Runnable action) {
        waiting.remove(action);
    }

    /** Number of actions that wait. */
    int waitingCount() {
        return waiting.size();
    }
}
