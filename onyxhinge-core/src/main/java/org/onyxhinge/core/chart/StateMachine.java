package org.onyxhinge.core.chart;

import org.onyxhinge.core.schedule.Invariants;

/**
 * One running instance of a {@link StateChart}. Not thread-safe. A transition that the chart does not allow throws
 * {@link IllegalStateException} and leaves the state unchanged.
 */
public final class StateMachine {

    private final StateChart chart;
    private final String subject;
    private String state;

    private StateMachine(StateChart chart, String subject) {
        this.chart = chart;
        this.subject = subject;
        this.state = chart.initial();
    }

    /** Starts a state machine in the chart's initial state; {@code subject} identifies it in error messages. */
    public static StateMachine start(StateChart chart, String subject) {
        return new StateMachine(chart, subject);
    }

    /** The current state. */
    public String state() {
        return state;
    }

    /** True when the state machine has reached a final state. */
    public boolean done() {
        return chart.isFinal(state);
    }

    /** Performs the transition for {@code event}; throws when the chart does not allow it. */
    public String fire(String event) {
        String next = chart.next(state, event).orElse(null);
        Invariants.check(next != null, chart.name() + " allows " + event + " in " + state, subject);
        if (next == null) {
            throw new IllegalStateException(
                    chart.name() + ": " + subject + " cannot take " + event + " in state " + state);
        }
        state = next;
        return next;
    }

    /** Performs the transition when the chart allows it; returns false otherwise. */
    public boolean tryFire(String event) {
        String next = chart.next(state, event).orElse(null);
        if (next == null) {
            return false;
        }
        state = next;
        return true;
    }
}
