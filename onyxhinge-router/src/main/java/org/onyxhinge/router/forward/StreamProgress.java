package org.onyxhinge.router.forward;

import java.util.Optional;

import io.vertx.core.buffer.Buffer;
import org.onyxhinge.core.place.TargetState;
import org.onyxhinge.wire.MonotonicClock;

/** Progress of one caller's stream across all targets that produce it in turn. */
final class StreamProgress {

    private EventSplitter splitter = new EventSplitter();
    private Optional<String> resumeAfter = Optional.empty();
    private long lastEventAtMs;
    private long longestGapMs;
    private int events;
    private String sentToVersion = "";
    private Optional<String> version = Optional.empty();

    /** Id of the last event that the caller received; another target continues after it. */
    Optional<String> resumeAfter() {
        return resumeAfter;
    }

    void resumeAfter(Optional<String> eventId) {
        resumeAfter = eventId;
    }

    /** The version that produced what the caller has received; empty while that is nothing. */
    Optional<String> version() {
        return version;
    }

    /** Sets the version that produced what the caller has received in earlier attempts. */
    void beganAt(String began) {
        version = Optional.of(began);
    }

    /** Records the version of the target that the stream is sent to. */
    void sentTo(String targetVersion) {
        sentToVersion = targetVersion;
    }

    /** Number of events sent to the caller. */
    int events() {
        return events;
    }

    /** The longest time between two events from the same target. */
    long longestGapMs() {
        return longestGapMs;
    }

    /** Resets the state for a target that starts or continues the stream. */
    void streamStarted() {
        splitter = new EventSplitter();
        lastEventAtMs = 0;
    }

    /**
     * Continues with the stream of another target.
     *
     * @param begun what has been read of it
     * @param target that target
     */
    void continueWith(EventSplitter begun, TargetState target) {
        splitter = begun;
        lastEventAtMs = 0;
        sentToVersion = target.info().version();
        if (begun.events() > 0) {
            record(begun.events(), target);
        }
    }

    /** Ends a time in which the target's stream was not read; it is no gap of the target. */
    void readingResumed() {
        lastEventAtMs = 0;
    }

    /** Adds bytes from the target; returns the events they complete, and updates the target's event interval. */
    Optional<Buffer> feed(Buffer bytes, TargetState target) {
        int before = splitter.events();
        Optional<Buffer> complete = splitter.feed(bytes);
        if (complete.isPresent()) {
            record(splitter.events() - before, target);
        }
        return complete;
    }

    private void record(int added, TargetState target) {
        long nowMs = MonotonicClock.nowMs();
        if (lastEventAtMs > 0) {
            target.recordGap((double) (nowMs - lastEventAtMs) / Math.max(1, added));
            longestGapMs = Math.max(longestGapMs, nowMs - lastEventAtMs);
        }
        lastEventAtMs = nowMs;
        events += added;
        version = Optional.of(version.orElse(sentToVersion));
        splitter.lastId().ifPresent(id -> resumeAfter = Optional.of(id));
    }

    /** Whether what the target has sent cannot be a stream of events. */
    boolean isMalformed() {
        return splitter.isMalformed();
    }

    /** True if the target has sent an incomplete event. */
    boolean hasPartialEvent() {
        return splitter.partial().length() > 0;
    }
}
