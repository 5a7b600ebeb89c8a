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

/** An engine model driven by virtual time. */
final class SimEngine {

    private final VirtualTime time;
    private final Target target;
    private final EngineModel model;
    private final Map<EngineRun, Consumer<Progress>> listeners = new IdentityHashMap<>();
    private boolean stepping;
    private final List<Double> arrivalsAtMs = new ArrayList<>();
    private boolean crashed;
    private int maxConcurrent;
    private OptionalDouble limitPerSecond = OptionalDouble.empty();

    /** Progress of a run, as reported to its listener. */
    enum Progress {
        EVENT,
        COMPLETED,
        FAILED
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

    /** Returns the highest number of concurrent requests, including those queued for a slot. */
    int maxConcurrent() {
        return maxConcurrent;
    }

    /** Advertises a rate limit in every answer that begins from now on; empty for none. */
    void advertiseLimit(OptionalDouble perSecond) {
        limitPerSecond = perSecond;
    }

    OptionalDouble limitPerSecond() {
        return limitPerSecond;
    }

    /** Returns the number of requests that arrived in a time span. */
    int arrivalsBetween(double fromMs, double untilMs) {
        return (int)
                arrivalsAtMs.stream().filter(at -> at >= fromMs && at < untilMs).count();
    }

    /** Returns the highest number of requests that arrived in any window of a time span. */
    int maxArrivalsInWindow(double windowMs, double fromMs, double untilMs) {
        return arrivalsAtMs.stream()
                .filter(at -> at >= fromMs && at < untilMs)
                .mapToInt(at -> arrivalsBetween(at, Math.min(at + windowMs, untilMs)))
                .max()
                .orElse(0);
    }

    /** Submits a request; returns false if it is not run. */
    boolean submit(EngineRun run, Consumer<Progress> listener) {
        arrivalsAtMs.add(time.nowMs());
        if (crashed || !model.submit(run)) {
            return false;
        }
        listeners.put(run, listener);
        maxConcurrent = Math.max(maxConcurrent, model.running() + model.waiting());
        if (!stepping) {
            step();
        }
        return true;
    }

    void cancel(EngineRun run) {
        listeners.remove(run);
        model.cancel(run);
    }

    /** Simulates a crash: all runs fail, and requests are rejected until {@link #recover}. */
    void crash() {
        crashed = true;
        Map<EngineRun, Consumer<Progress>> interrupted = new IdentityHashMap<>(listeners);
        interrupted.keySet().forEach(this::cancel);
        interrupted.values().forEach(l -> l.accept(Progress.FAILED));
    }

    /** Returns true between a crash and the recovery. */
    boolean crashed() {
        return crashed;
    }

    void recover() {
        crashed = false;
    }

    private void step() {
        EngineStep step = model.step();
        stepping = step.durationMs() > 0;
        if (stepping) {
            time.after(step.durationMs(), () -> {
                step.events().forEach(run -> notifyListener(run, Progress.EVENT));
                step.ended().forEach(run -> {
                    notifyListener(run, Progress.COMPLETED);
                    listeners.remove(run);
                });
                step();
            });
        }
    }

    private void notifyListener(EngineRun run, Progress progress) {
        Optional.ofNullable(listeners.get(run)).ifPresent(l -> l.accept(progress));
    }
}
