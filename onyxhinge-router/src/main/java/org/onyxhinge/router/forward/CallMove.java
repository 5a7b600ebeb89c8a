package org.onyxhinge.router.forward;

import java.util.Optional;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import org.onyxhinge.core.move.MoveEvent;
import org.onyxhinge.core.move.MoveState;
import org.onyxhinge.wire.MonotonicClock;

/** The move of a call from its first attempt to one at another target; until it is decided, either may answer. */
final class CallMove {

    private final Attempt first;
    private final Attempt other;
    private final String why;
    private final long startedAtMs = MonotonicClock.nowMs();
    private final EventSplitter splitter = new EventSplitter();
    private Optional<StreamHead> head = Optional.empty();
    private MoveState state = MoveState.begin();

    /** Head of the other target's stream. */
    record StreamHead(int status, HttpClientResponse response) {}

    private CallMove(Attempt first, Attempt other, String why) {
        this.first = first;
        this.other = other;
        this.why = why;
    }

    /**
     * Begins a move.
     *
     * @param first the attempt that has the call
     * @param other the attempt at the other target, which is not sent yet
     * @param why why the call is moved
     */
    static CallMove begin(Attempt first, Attempt other, String why) {
        return new CallMove(first, other, why);
    }

    Attempt first() {
        return first;
    }

    Attempt other() {
        return other;
    }

    String why() {
        return why;
    }

    MoveState state() {
        return state;
    }

    /** Applies an event; returns the state after it. */
    MoveState on(MoveEvent event) {
        state = state.on(event);
        return state;
    }

    /** Records the head of the other target's stream. */
    void streamBegins(StreamHead begun) {
        head = Optional.of(begun);
    }

    /** The head of the other target's stream, if it has arrived. */
    Optional<StreamHead> head() {
        return head;
    }

    /** Adds bytes of the other target's stream; returns the events they complete. */
    Optional<Buffer> feed(Buffer bytes) {
        return splitter.feed(bytes);
    }

    /** Splits the other target's stream. */
    EventSplitter splitter() {
        return splitter;
    }

    /** Time since the move was begun. */
    long tookMs() {
        return MonotonicClock.nowMs() - startedAtMs;
    }
}
