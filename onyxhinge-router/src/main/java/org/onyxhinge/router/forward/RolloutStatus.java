package org.onyxhinge.router.forward;

import org.onyxhinge.core.rollout.RolloutPhase;

/**
 * State of a rollout as shown to operators.
 *
 * @param version the ordered version
 * @param state the state
 */
public record RolloutStatus(String version, State state) {

    /** What operators distinguish. */
    public enum State {
        RUNNING,
        COMPLETED,
        ROLLED_BACK
    }

    static RolloutStatus of(String version, RolloutPhase phase) {
        return new RolloutStatus(
                version,
                switch (phase) {
                    case TRIAL, PROMOTING -> State.RUNNING;
                    case COMPLETED -> State.COMPLETED;
                    case ROLLED_BACK -> State.ROLLED_BACK;
                });
    }
}
