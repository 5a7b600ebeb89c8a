package org.onyxhinge.tools.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.BiConsumer;

import org.onyxhinge.core.place.Call;
import org.onyxhinge.core.place.CallTimes;
import org.onyxhinge.core.place.CallerDeadlines;
import org.onyxhinge.core.place.Mechanism;
import org.onyxhinge.core.place.PeerUpdate;
import org.onyxhinge.core.place.Placement;
import org.onyxhinge.core.place.PlacementSettings;
import org.onyxhinge.core.place.ResponseLengthEstimator;
import org.onyxhinge.core.place.SlotRequest;
import org.onyxhinge.core.place.TargetState;
import org.onyxhinge.core.place.Verdict;

/** A simulated router that places calls with {@link Placement}. */
final class PlacementRouter implements SimRouter {

    /** The service provided by all engines. */
    static final String SERVICE = "model";

    private static final double PUMP_INTERVAL_MS = 10;

    private final VirtualTime time;
    private final String id;
    private final String dataCentre;
    private final PlacementSettings settings;
    private final Placement placement;
    private final Map<String, SimEngine> engines = new HashMap<>();
    private final ResponseLengthEstimator lengthEstimator = new ResponseLengthEstimator();
    private final CallerDeadlines callerDeadlines = CallerDeadlines.create();
    private final Map<Call, SimAttempt> waiting = new IdentityHashMap<>();
    private final Map<SimAttempt, InFlightCall> inFlightCalls = new IdentityHashMap<>();
    private final Map<SimAttempt, Call> callByAttempt = new IdentityHashMap<>();
    private final Map<SimAttempt, CallTimes> timesByAttempt = new IdentityHashMap<>();
    private RateLimitListener rateLimitListener = (incarnation, limit, atMs) -> {};

    /** Receives changes of an engine's rate limit, to pass them on to the other routers. */
    @FunctionalInterface
    interface RateLimitListener {

        /**
         * Called when an answer shows a changed rate limit.
         *
         * @param limit the advertised limit; empty for none
         * @param atMs when the limit was advertised; without a limit, when the call was sent
         */
        void accept(String incarnation, OptionalDouble limit, long atMs);
    }

    /** A call sent to an engine. */
    private static final class InFlightCall {
        private final Call call;
        private final TargetState target;
        private final double sentAtMs;
        private final long pendingPrefillTokens;
        private double lastEventAtMs = -1;
        private int events;

        InFlightCall(Call call, TargetState target, double sentAtMs) {
            this.call = call;
            this.target = target;
            this.sentAtMs = sentAtMs;
            this.pendingPrefillTokens = target.ownPrefillTokens();
        }
    }

    PlacementRouter(
            VirtualTime time,
            String id,
            String dataCentre,
            PlacementSettings settings,
            List<SimEngine> all,
            BiConsumer<String, String> slotReserved) {
        this.time = time;
        this.id = id;
        this.dataCentre = dataCentre;
        this.settings = settings;
        this.placement = Placement.create(id, dataCentre, settings, slotReserved);
        all.forEach(e -> {
            engines.put(e.target().id(), e);
            placement.targetSeen(e.target());
        });
        time.every(PUMP_INTERVAL_MS, PUMP_INTERVAL_MS, this::pump);
    }

    String id() {
        return id;
    }

    Placement placement() {
        return placement;
    }

    void setRateLimitListener(RateLimitListener listener) {
        rateLimitListener = listener;
    }

    /** Applies a peer's update about its calls. */
    void peerUpdateReceived(String peer, PeerUpdate update) {
        placement.peerUses(peer, update.uses());
        placement.peerWaiting(peer, update.waiting());
        placement.peerRates(peer, update.rates());
        placement.peerWorkspaceUse(peer, update.workspaceUse(), time.nowMillis());
        pump();
    }

    /** Records a slot that a peer has reserved for this router. */
    void slotReserved(String targetId) {
        placement.slotReserved(targetId, time.nowMillis());
        pump();
    }

    /** Handles a slot request from a router of another group that has queued calls. */
    void slotsWanted(String router, SlotRequest request) {
        placement.slotsWanted(router, request.service(), request.waiting(), time.nowMillis());
        pump();
    }

    @Override
    public void submit(SimAttempt attempt) {
        RequestKind kind = attempt.kind();
        long waitedMs = callerDeadlines.waitedBeforeMs(kind.name(), attempt.deadlineMs(), time.nowMillis());
        timesByAttempt.put(
                attempt,
                CallTimes.of(
                        time.nowMillis(),
                        settings.uses(Mechanism.LATE_YIELD) ? waitedMs : 0,
                        kind.targetLatencyMs(),
                        attempt.deadlineMs()));
        place(attempt, Set.of());
    }

    private void place(SimAttempt attempt, Set<String> avoid) {
        RequestKind kind = attempt.kind();
        CallTimes callTimes = timesByAttempt.get(attempt);
        Call call = Call.of(SERVICE, time.nowMillis())
                .rank(attempt.rank(), callTimes.isRetry())
                .times(callTimes.firstByteDeadlineMs(), callTimes.queueDeadlineMs())
                .responseDeadline(callTimes.responseDeadlineMs())
                .gapTarget(kind.gapTargetMs())
                .work(attempt.promptTokens(), lengthEstimator.expectedEvents(kind.name(), attempt.expectedTokens()))
                .avoid(avoid)
                .build();
        callByAttempt.put(attempt, call);
        waiting.put(call, attempt);
        handle(placement.submit(call, time.nowMillis()));
    }

    private void pump() {
        placement.pump(time.nowMillis()).forEach(this::handle);
    }

    private void handle(Verdict verdict) {
        switch (verdict) {
            case Verdict.Wait w -> {
                // The call stays in the map of queued calls.
            }
            case Verdict.Refuse r -> {
                callerDeadlines.refused(time.nowMillis());
                SimAttempt attempt = waiting.remove(r.call());
                callByAttempt.remove(attempt);
                timesByAttempt.remove(attempt);
                attempt.listener().refused(r.retryAfterMs());
            }
            case Verdict.Send s -> send(waiting.remove(s.call()), s);
        }
    }

    private void send(SimAttempt attempt, Verdict.Send s) {
        SimEngine engine = engines.get(s.target().info().id());
        InFlightCall inFlightCall = new InFlightCall(s.call(), s.target(), time.nowMs());
        inFlightCalls.put(attempt, inFlightCall);
        double oneWayMs = engine.target().dataCentre().equals(dataCentre) ? LOCAL_DELAY_MS : REMOTE_DELAY_MS;
        time.after(oneWayMs, () -> {
            if (inFlightCalls.get(attempt) != inFlightCall) {
                return;
            }
            if (engine.crashed()) {
                targetUnreachable(attempt, inFlightCall);
            } else if (!engine.submit(
                    attempt.run(),
                    progress -> time.after(oneWayMs, () -> onProgress(attempt, inFlightCall, progress)))) {
                rejectedByEngine(attempt, inFlightCall);
            }
        });
    }

    private void targetUnreachable(SimAttempt attempt, InFlightCall inFlightCall) {
        placement.unreachable(inFlightCall.target, time.nowMillis());
        release(attempt, inFlightCall);
        Set<String> avoid = new HashSet<>(inFlightCall.call.avoid());
        avoid.add(inFlightCall.target.incarnation());
        place(attempt, avoid);
    }

    private void rejectedByEngine(SimAttempt attempt, InFlightCall inFlightCall) {
        placement.shed(inFlightCall.target, time.nowMillis(), 0);
        release(attempt, inFlightCall);
        attempt.listener().refused(PUMP_INTERVAL_MS);
    }

    private void onProgress(SimAttempt attempt, InFlightCall inFlightCall, SimEngine.Progress progress) {
        if (inFlightCalls.get(attempt) != inFlightCall) {
            return;
        }
        double nowMs = time.nowMs();
        placement.heard(inFlightCall.target, time.nowMillis());
        switch (progress) {
            case EVENT -> {
                if (inFlightCall.events++ == 0) {
                    readRateLimit(inFlightCall);
                    placement.firstByte(
                            inFlightCall.call,
                            inFlightCall.target,
                            nowMs - inFlightCall.sentAtMs,
                            inFlightCall.pendingPrefillTokens);
                } else {
                    inFlightCall.target.recordGap(nowMs - inFlightCall.lastEventAtMs);
                }
                inFlightCall.lastEventAtMs = nowMs;
                attempt.listener().event();
            }
            case COMPLETED -> {
                lengthEstimator.ended(attempt.kind().name(), inFlightCall.events, attempt.expectedTokens());
                placement.answered(inFlightCall.target, true, time.nowMillis());
                release(attempt, inFlightCall);
                attempt.listener().completed();
            }
            case FAILED -> {
                placement.unreachable(inFlightCall.target, time.nowMillis());
                release(attempt, inFlightCall);
                attempt.listener().failed();
            }
            default -> throw new IllegalStateException("unknown progress " + progress);
        }
    }

    /** Reads the engine's rate limit from the head of an answer and passes a change on to the other routers. */
    private void readRateLimit(InFlightCall inFlightCall) {
        String incarnation = inFlightCall.target.incarnation();
        OptionalDouble limit = engines.get(inFlightCall.target.info().id()).limitPerSecond();
        long atMs = limit.isPresent() ? time.nowMillis() : (long) inFlightCall.sentAtMs;
        if (recordRateLimit(incarnation, limit, atMs)) {
            rateLimitListener.accept(incarnation, limit, atMs);
        }
    }

    /** Records the rate limit that an answer advertised; returns true if it changed. */
    boolean recordRateLimit(String incarnation, OptionalDouble limit, long atMs) {
        return limit.isPresent()
                ? placement.limitAdvertised(incarnation, limit.getAsDouble(), atMs)
                : placement.limitNotAdvertised(incarnation, atMs);
    }

    private void release(SimAttempt attempt, InFlightCall inFlightCall) {
        inFlightCalls.remove(attempt);
        callByAttempt.remove(attempt);
        placement.ended(inFlightCall.call, inFlightCall.target, inFlightCall.events > 0, time.nowMillis());
        pump();
    }

    @Override
    public void cancel(SimAttempt attempt) {
        Call call = callByAttempt.get(attempt);
        InFlightCall inFlightCall = inFlightCalls.get(attempt);
        if (inFlightCall != null) {
            SimEngine engine = engines.get(inFlightCall.target.info().id());
            time.after(REMOTE_DELAY_MS, () -> engine.cancel(attempt.run()));
            release(attempt, inFlightCall);
        } else if (call != null) {
            waiting.remove(call);
            placement.withdraw(call);
            callByAttempt.remove(attempt);
        }
    }
}
