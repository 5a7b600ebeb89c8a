package org.onyxhinge.core.move;

/**
 * State of the move of a call from its first target to another one. Exactly one of the two has the call once the move
 * is decided; what arrives later changes nothing. The transitions are listed in {@code docs/design/moves.md}.
 */
public sealed interface MoveState {

    /** The connection to the other target is being made; only the first has the call. */
    record Connecting() implements MoveState {}

    /** Both targets have the call; whichever responds first keeps it. */
    record Both() implements MoveState {}

    /** The first target has the call. */
    record Kept() implements MoveState {}

    /** The other target has the call. */
    record Moved() implements MoveState {}

    /** Neither has the call because it is over. */
    record Ended() implements MoveState {}

    /** The state of a move that begins. */
    static MoveState begin() {
        return new Connecting();
    }

    /** The state after an event. */
    default MoveState on(MoveEvent event) {
        return switch (this) {
            case Connecting s ->
                switch (event) {
                    case SENT -> new Both();
                    case FIRST_RESPONDED, OTHER_FAILED -> new Kept();
                    case FIRST_FAILED -> new Moved();
                    case CALL_ENDED -> new Ended();
                    case OTHER_RESPONDED -> s;
                };
            case Both s ->
                switch (event) {
                    case FIRST_RESPONDED, OTHER_FAILED -> new Kept();
                    case FIRST_FAILED, OTHER_RESPONDED -> new Moved();
                    case CALL_ENDED -> new Ended();
                    case SENT -> s;
                };
            case Kept s -> s;
            case Moved s -> s;
            case Ended s -> s;
        };
    }

    /** Whether it is settled which target has the call. */
    default boolean isDecided() {
        return switch (this) {
            case Connecting s -> false;
            case Both s -> false;
            case Kept s -> true;
            case Moved s -> true;
            case Ended s -> true;
        };
    }
}
