package org.onyxhinge.router.forward;

import java.util.Optional;

import io.vertx.core.buffer.Buffer;
import org.onyxhinge.core.move.MoveEvent;
import org.onyxhinge.core.move.MoveState;
import org.onyxhinge.core.place.Verdict;
import org.onyxhinge.wire.MonotonicClock;

/** The attempts of one call: the one that has it and, while the call is being moved, one at another target. */
final class CallAttempts {

    /** A move that fails is not followed by another at once: each target that is asked is kept busy with the call. */
    private static final long MOVE_INTERVAL_MS = 500;

    private final Forwarder forwarder;
    private final AttemptResults owner;
    private final CallLogEntry logEntry;
    /** Null until the call is placed. */
    private Attempt current;
    /** Null unless the call is being moved. */
    private CallMove move;

    private long nextMoveAtMs;

    CallAttempts(Forwarder forwarder, AttemptResults owner, CallLogEntry logEntry) {
        this.forwarder = forwarder;
        this.owner = owner;
        this.logEntry = logEntry;
    }

    /** The attempt that has the call. */
    Optional<Attempt> current() {
        return Optional.ofNullable(current);
    }

    /** Whether the target that has the call may be executing it. */
    boolean isRunning() {
        return current != null && current.isRunning();
    }

    boolean isMoving() {
        return move != null;
    }

    /** Whether this is the attempt at the target that the call is being moved to. */
    boolean isOther(Attempt a) {
        return move != null && move.other() == a;
    }

    /** Whether a call may be moved away from this attempt now. */
    boolean mayMove(Attempt a, long nowMs) {
        return move == null && a == current && nowMs >= nextMoveAtMs;
    }

    /** Starts an attempt that has the call. */
    void start(Verdict.Send placed, CallPlan plan) {
        current = Attempt.start(forwarder, owner, placed.call(), placed.target());
        current.run(forwarder.maxIdleConnections(plan, placed.target().info()));
    }

    /** Begins to move the call. */
    void move(Verdict.Send placed, CallPlan plan, String why) {
        Attempt other = Attempt.start(forwarder, owner, placed.call(), placed.target());
        move = CallMove.begin(current, other, why);
        other.run(forwarder.maxIdleConnections(plan, placed.target().info()));
    }

    /** Records the head of the other target's stream. */
    void streamBegins(CallMove.StreamHead head) {
        move.streamBegins(head);
    }

    /** Adds bytes of the other target's stream; returns the events they complete. */
    Optional<Buffer> feedOther(Buffer bytes) {
        return move.feed(bytes);
    }

    boolean isOtherMalformed() {
        return move.splitter().isMalformed();
    }

    boolean isOtherInsideEvent() {
        return move.splitter().partial().length() > 0;
    }

    /** Records an event of a stream or a whole response; it decides a move. */
    void responded(Attempt a) {
        on(isOther(a) ? MoveEvent.OTHER_RESPONDED : MoveEvent.FIRST_RESPONDED);
    }

    /** Applies an event to the move, if there is one. */
    void on(MoveEvent event) {
        if (move == null) {
            return;
        }
        MoveState state = move.on(event);
        if (!state.isDecided()) {
            return;
        }
        CallMove decided = move;
        move = null;
        report(decided, event);
        switch (state) {
            case MoveState.Kept s -> {
                decided.other().cancel();
                nextMoveAtMs = MonotonicClock.nowMs() + MOVE_INTERVAL_MS;
            }
            case MoveState.Moved s -> {
                current = decided.other();
                owner.moved(decided);
            }
            case MoveState.Ended s -> decided.other().cancel();
            case MoveState.Connecting s -> throw new IllegalStateException("undecided move");
            case MoveState.Both s -> throw new IllegalStateException("undecided move");
        }
    }

    private void report(CallMove decided, MoveEvent event) {
        String outcome = event.name().toLowerCase(java.util.Locale.ROOT);
        logEntry.addMove(
                decided.first().target().info().id(),
                decided.other().target().info().id(),
                decided.why(),
                outcome,
                decided.tookMs());
        forwarder.metrics().event("moves." + outcome);
    }

    /** Cancels all attempts because the call is over. */
    void cancel() {
        if (current != null) {
            current.cancel();
        }
        on(MoveEvent.CALL_ENDED);
    }
}
