package org.onyxhinge.tools.fleet;

import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.Consumer;

import org.onyxhinge.core.engine.EngineModel;
import org.onyxhinge.core.engine.EngineRun;
import org.onyxhinge.core.engine.EngineSpec;
import org.onyxhinge.core.engine.EngineStep;
import org.onyxhinge.core.place.Target;

/** An engine model in virtual time. */
final class SimEngine {

    private final VirtualTime time;
    private final Target target;
    private final EngineModel model;
    private final Map<EngineRun, Consumer<Progress>> listeners = new IdentityHashMap<>();
    private boolean stepping;
    private final List<Double> arrivalsAtMs = new ArrayList<>();
    private boolean lost;
    private int mostAtOnce;
    private OptionalDouble limitPerSecond = OptionalDouble.empty();

    /** What a run's caller hears. */
    enum Progress {
        EVENT,
        WHOLE,
        BROKEN
    }

    SimEngine(VirtualTime time, Target target, EngineSpec spec) {
        this.time = time;
        this.target = target;
        this.model = EngineModel.create(spec);
    }

    Target target() {
        return target;
    }

    EngineModel model() {
        return model;
    }

    /** Most requests it had at once, those that waited for a slot included. */
    int mostAtOnce() {
        return mostAtOnce;
    }

    /** Names a rate limit in every answer that begins from now on; empty for none. */
    void nameLimit(OptionalDouble perSecond) {
        limitPerSecond = perSecond;
    }

    OptionalDouble limitPerSecond() {
        return limitPerSecond;
    }

    /** Requests that reached it within a span. */
    int within(double fromMs, double untilMs) {
        return (int)
                arrivalsAtMs.stream().filter(at -> at >= fromMs && at < untilMs).count();
    }

    /** The most requests that reached it within any window of a span. */
    int mostWithin(double windowMs, double fromMs, double untilMs) {
        return arrivalsAtMs.stream()
                .filter(at -> at >= fromMs && at < untilMs)
                .mapToInt(at -> within(at, Math.min(at + windowMs, untilMs)))
                .max()
                .orElse(0);
    }

    /** Takes a request; false when it is not run. */
    boolean submit(EngineRun run, Consumer<Progress> listener) {
        arrivalsAtMs.add(time.nowMs());
        if (lost || !model.submit(run)) {
            return false;
        }
        listeners.put(run, listener);
        mostAtOnce = Math.max(mostAtOnce, model.running() + model.waiting());
        if (!stepping) {
            step();
        }
        return true;
    }

    void cancel(EngineRun run) {
        listeners.remove(run);
        model.cancel(run);
    }

    /** Ends all its work at once, as a crash does; it takes nothing until {@link #back}. */
    void lose() {
        lost = true;
        Map<EngineRun, Consumer<Progress>> cut = new IdentityHashMap<>(listeners);
        cut.keySet().forEach(this::cancel);
        cut.values().forEach(l -> l.accept(Progress.BROKEN));
    }

    /** True while it takes nothing. */
    boolean lost() {
        return lost;
    }

    void back() {
        lost = false;
    }

    private void step() {
        EngineStep step = model.step();
        stepping = step.durationMs() > 0;
        if (stepping) {
            time.after(step.durationMs(), () -> {
                step.events().forEach(run -> tell(run, Progress.EVENT));
                step.ended().forEach(run -> {
                    tell(run, Progress.WHOLE);
                    listeners.remove(run);
                });
                step();
            });
        }
    }

    private void tell(EngineRun run, Progress progress) {
        Optional.ofNullable(listeners.get(run)).ifPresent(l -> l.accept(progress));
    }
}
