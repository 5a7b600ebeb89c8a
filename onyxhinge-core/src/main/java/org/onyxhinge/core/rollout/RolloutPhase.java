package org.onyxhinge.core.rollout;

import java.util.Locale;
import java.util.Optional;

import org.onyxhinge.core.chart.StateChart;

/** Phase of a rollout. The transitions are those of the chart {@code rollout.ini}. */
public enum RolloutPhase {
    /** A limited part of the calls goes to the new version. */
    TRIAL,
    /** All new calls go to the new version; calls that run on earlier versions are still ending. */
    PROMOTING,
    /** The new version has replaced the earlier ones. */
    COMPLETED,
    /** The new version was rejected. */
    ROLLED_BACK;

    private static final StateChart CHART = StateChart.fromResource(RolloutPhase.class, "rollout.ini");

    /** The phase that a step leads to; empty if the step is not possible in this phase. */
    public Optional<RolloutPhase> after(RolloutStep step) {
        return CHART.next(chartName(name()), chartName(step.name()))
                .map(state -> valueOf(state.toUpperCase(Locale.ROOT)));
    }

    /** Whether the rollout has ended. */
    public boolean isFinal() {
        return CHART.isFinal(chartName(name()));
    }

    /** Whether this phase can be reached from another one, in one or more steps. */
    public boolean isReachableFrom(RolloutPhase earlier) {
        for (RolloutStep step : RolloutStep.values()) {
            Optional<RolloutPhase> next = earlier.after(step);
            if (next.isPresent() && (next.get() == this || isReachableFrom(next.get()))) {
                return true;
            }
        }
        return false;
    }

    private static String chartName(String constant) {
        return constant.toLowerCase(Locale.ROOT);
    }
}
