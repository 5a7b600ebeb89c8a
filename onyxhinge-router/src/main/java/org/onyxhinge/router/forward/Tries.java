package org.onyxhinge.router.forward;

import java.util.HashSet;
import java.util.Set;

import org.onyxhinge.core.place.TargetState;
import org.onyxhinge.wire.MonotonicClock;

/** What has become of one request at the targets so far, and whether it may go to a further one. */
final class Tries {

    private final Set<String> avoid = new HashSet<>();
    private int sends;
    private boolean ran;
    private KeptAnswer kept;

    /** Incarnations of targets that are not to be tried again. */
    Set<String> avoid() {
        return avoid;
    }

    void avoid(TargetState target) {
        avoid.add(target.incarnation());
    }

    void sent() {
        sends++;
    }

    /** How often it was sent. */
    int sends() {
        return sends;
    }

    void ran() {
        ran = true;
    }

    /** True once a target may have run it. */
    boolean mayHaveRun() {
        return ran;
    }

    void keep(KeptAnswer answer) {
        kept = answer;
    }

    /** A target's answer that is passed on if no other target gives a better one; null for none. */
    KeptAnswer kept() {
        return kept;
    }

    /** Whether it may be sent once more; takes it out of the service's retry budget if so. */
    boolean mayRepeat(CallPlan plan, Forwarder forwarder) {
        return sends < plan.route().maxAttempts()
                && plan.timeForAnother()
                && forwarder.retries().tryRetry(plan.service(), forwarder.routers(), MonotonicClock.nowMs());
    }
}
