package org.onyxhinge.router.forward;

import java.util.Optional;

import io.vertx.core.buffer.Buffer;
import org.onyxhinge.core.place.TargetState;
import org.onyxhinge.wire.MonotonicClock;

/** How far the stream of one caller has come, over all targets that make it in turn. */
final class StreamProgress {

    private EventSplitter splitter = new EventSplitter();
    private Optional<String> resumeAfter = Optional.empty();
    private long lastEventAtMs;
    private long longestGapMs;
    private int events;

    /** The last event the caller has; another target goes on after it. */
    Optional<String> resumeAfter() {
        return resumeAfter;
    }

    void resumeAfter(Optional<String> eventId) {
        resumeAfter = eventId;
    }

    /** Events the caller has been sent. */
    int events() {
        return events;
    }

    /** The longest pause between two events from one target. */
    long longestGapMs() {
        return longestGapMs;
    }

    /** A target begins, or goes on, to send. */
    void begins() {
        splitter = new EventSplitter();
        lastEventAtMs = 0;
    }

    /** Takes bytes from the target; returns the whole events they complete, and learns the target's pace. */
    Optional<Buffer> feed(Buffer bytes, TargetState target) {
        int before = splitter.events();
        Optional<Buffer> whole = splitter.feed(bytes);
        if (whole.isPresent()) {
            int more = splitter.events() - before;
            long nowMs = MonotonicClock.nowMs();
            if (lastEventAtMs > 0) {
                target.recordGap((double) (nowMs - lastEventAtMs) / Math.max(1, more));
                longestGapMs = Math.max(longestGapMs, nowMs - lastEventAtMs);
            }
            lastEventAtMs = nowMs;
            events += more;
            splitter.lastId().ifPresent(id -> resumeAfter = Optional.of(id));
        }
        return whole;
    }

    /** True when the target has sent a part of an event. */
    boolean insideAnEvent() {
        return splitter.rest().length() > 0;
    }
}
