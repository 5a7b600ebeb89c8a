package org.onyxhinge.router.forward;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

import org.onyxhinge.core.place.TargetState;
import org.onyxhinge.wire.MonotonicClock;

/** Outcome so far of one request's attempts, and whether it may be sent to another target. */
final class AttemptHistory {

    private final Set<String> excluded = new HashSet<>();
    private final Set<String> tried = new HashSet<>();
    /** Targets that the request was moved away from although they had not failed. */
    private final Set<String> left = new LinkedHashSet<>();

    private int sendCount;
    private boolean executed;
    private FallbackResponse fallback;

    /** Incarnations of targets that must not be tried again. */
    Set<String> excluded() {
        return excluded;
    }

    void exclude(TargetState target) {
        excluded.add(target.incarnation());
        left.remove(target.incarnation());
    }

    void recordSend(TargetState target) {
        sendCount++;
        tried.add(target.incarnation());
        left.remove(target.incarnation());
    }

    /** Records that the request was moved away from a target, which may take it again. */
    void leave(TargetState target) {
        left.add(target.incarnation());
    }

    /** A target that the request may be sent to again. It has had the request, so it is no further target. */
    Optional<String> returnable() {
        return left.stream().findFirst();
    }

    /** Whether the request may be sent to a target that has not had it. */
    boolean mayTryFurther(CallPlan plan) {
        return tried.size() < plan.route().maxAttempts();
    }

    /** Number of times the request was sent. */
    int sendCount() {
        return sendCount;
    }

    void markExecuted() {
        executed = true;
    }

    /** True once a target may have executed the request. */
    boolean mayHaveExecuted() {
        return executed;
    }

    void keepFallback(FallbackResponse response) {
        fallback = response;
    }

    /** An error response that is forwarded if no other target returns a better one; null if there is none. */
    FallbackResponse fallback() {
        return fallback;
    }

    /** Whether the request may be sent once more; if so, consumes a retry from the service's budget. */
    boolean consumeRetry(CallPlan plan, Forwarder forwarder) {
        return (mayTryFurther(plan) || !left.isEmpty())
                && plan.hasTimeForRetry()
                && forwarder.retries().tryRetry(plan.service(), forwarder.routers(), MonotonicClock.nowMs());
    }
}
