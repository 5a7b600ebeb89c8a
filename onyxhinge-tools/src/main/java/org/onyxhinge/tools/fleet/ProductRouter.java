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

/** A router with the product's placement. */
final class ProductRouter implements SimRouter {

    /** Service of all engines. */
    static final String SERVICE = "model";

    private static final double PUMP_MS = 10;

    private final VirtualTime time;
    private final String id;
    private final String dataCentre;
    private final PlacementSettings settings;
    private final Placement placement;
    private final Map<String, SimEngine> engines = new HashMap<>();
    private final ResponseLengthEstimator lengths = new ResponseLengthEstimator();
    private final CallerDeadlines deadlines = CallerDeadlines.create();
    private final Map<Call, SimTry> waiting = new IdentityHashMap<>();
    private final Map<SimTry, Flight> flights = new IdentityHashMap<>();
    private final Map<SimTry, Call> calls = new IdentityHashMap<>();
    private final Map<SimTry, CallTimes> times = new IdentityHashMap<>();
    private LimitNews limitNews = (incarnation, limit, atMs) -> {};

    /** Hears what is news of an engine's rate limit, for the other routers. */
    @FunctionalInterface
    interface LimitNews {

        /**
         * An answer said something new.
         *
         * @param limit the limit it named; empty for none
         * @param atMs when it named it, or its call was sent
         */
        void accept(String incarnation, OptionalDouble limit, long atMs);
    }

    /** A call at an engine. */
    private static final class Flight {
        private final Call call;
        private final TargetState target;
        private final double sentAtMs;
        private final long tokensToRead;
        private double heardAtMs = -1;
        private int events;

        Flight(Call call, TargetState target, double sentAtMs) {
            this.call = call;
            this.target = target;
            this.sentAtMs = sentAtMs;
            this.tokensToRead = target.ownPrefillTokens();
        }
    }

    ProductRouter(
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
        time.every(PUMP_MS, PUMP_MS, this::pump);
    }

    String id() {
        return id;
    }

    Placement placement() {
        return placement;
    }

    /** Sets who hears what is news of rate limits. */
    void tellLimits(LimitNews listener) {
        limitNews = listener;
    }

    /** Notes what a peer says of its calls. */
    void heard(String peer, PeerUpdate news) {
        placement.peerUses(peer, news.uses());
        placement.peerWaiting(peer, news.waiting());
        placement.peerRates(peer, news.rates());
        pump();
    }

    /** Notes a slot that a peer reserves for this router. */
    void slotReserved(String targetId) {
        placement.slotReserved(targetId, time.wholeMs());
        pump();
    }

    /** Notes that a router of another group has calls that wait. */
    void slotsWanted(String router, SlotRequest request) {
        placement.slotsWanted(router, request.service(), request.waiting(), time.wholeMs());
        pump();
    }

    @Override
    public void ask(SimTry t) {
        RequestKind kind = t.kind();
        long waitedMs = deadlines.waitedBeforeMs(kind.name(), t.deadlineMs(), time.wholeMs());
        times.put(
                t,
                CallTimes.of(
                        time.wholeMs(),
                        settings.uses(Mechanism.LATE_YIELD) ? waitedMs : 0,
                        kind.targetLatencyMs(),
                        t.deadlineMs()));
        place(t, Set.of());
    }

    private void place(SimTry t, Set<String> avoid) {
        RequestKind kind = t.kind();
        CallTimes due = times.get(t);
        Call call = Call.of(SERVICE, time.wholeMs())
                .rank(t.rank(), due.isRetry())
                .times(due.firstByteDeadlineMs(), due.queueDeadlineMs())
                .responseDeadline(due.responseDeadlineMs())
                .gapTarget(kind.gapTargetMs())
                .work(t.promptTokens(), lengths.expectedEvents(kind.name(), t.expectedTokens()))
                .avoid(avoid)
                .build();
        calls.put(t, call);
        waiting.put(call, t);
        verdict(placement.submit(call, time.wholeMs()));
    }

    private void pump() {
        placement.pump(time.wholeMs()).forEach(this::verdict);
    }

    private void verdict(Verdict verdict) {
        switch (verdict) {
            case Verdict.Wait w -> {
                // It stays in the map of those that wait.
            }
            case Verdict.Refuse r -> {
                deadlines.refused(time.wholeMs());
                SimTry t = waiting.remove(r.call());
                calls.remove(t);
                times.remove(t);
                t.hears().refused(r.retryAfterMs());
            }
            case Verdict.Send s -> send(waiting.remove(s.call()), s);
        }
    }

    private void send(SimTry t, Verdict.Send s) {
        SimEngine engine = engines.get(s.target().info().id());
        Flight flight = new Flight(s.call(), s.target(), time.nowMs());
        flights.put(t, flight);
        double oneWayMs = engine.target().dataCentre().equals(dataCentre) ? NEAR_MS : FAR_MS;
        time.after(oneWayMs, () -> {
            if (flights.get(t) != flight) {
                return;
            }
            if (engine.lost()) {
                unreached(t, flight);
            } else if (!engine.submit(t.run(), p -> time.after(oneWayMs, () -> progress(t, flight, p)))) {
                turnedAway(t, flight);
            }
        });
    }

    private void unreached(SimTry t, Flight flight) {
        placement.unreachable(flight.target, time.wholeMs());
        end(t, flight);
        Set<String> avoid = new HashSet<>(flight.call.avoid());
        avoid.add(flight.target.incarnation());
        place(t, avoid);
    }

    private void turnedAway(SimTry t, Flight flight) {
        placement.shed(flight.target, time.wholeMs());
        end(t, flight);
        t.hears().refused(PUMP_MS);
    }

    private void progress(SimTry t, Flight flight, SimEngine.Progress p) {
        if (flights.get(t) != flight) {
            return;
        }
        double nowMs = time.nowMs();
        placement.heard(flight.target, time.wholeMs());
        switch (p) {
            case EVENT -> {
                if (flight.events++ == 0) {
                    limitRead(flight);
                    placement.firstByte(flight.call, flight.target, nowMs - flight.sentAtMs, flight.tokensToRead);
                } else {
                    flight.target.recordGap(nowMs - flight.heardAtMs);
                }
                flight.heardAtMs = nowMs;
                t.hears().event();
            }
            case WHOLE -> {
                lengths.ended(t.kind().name(), flight.events, t.expectedTokens());
                placement.answered(flight.target, true, time.wholeMs());
                end(t, flight);
                t.hears().whole();
            }
            case BROKEN -> {
                placement.unreachable(flight.target, time.wholeMs());
                end(t, flight);
                t.hears().broken();
            }
            default -> throw new IllegalStateException("unknown progress " + p);
        }
    }

    /** Reads what an answer's head says of the engine's rate limit, and tells the others what is news. */
    private void limitRead(Flight flight) {
        String incarnation = flight.target.incarnation();
        OptionalDouble limit = engines.get(flight.target.info().id()).limitPerSecond();
        long atMs = limit.isPresent() ? time.wholeMs() : (long) flight.sentAtMs;
        if (limitHeard(incarnation, limit, atMs)) {
            limitNews.accept(incarnation, limit, atMs);
        }
    }

    /** Takes in what an answer said of a rate limit; true when that is news. */
    boolean limitHeard(String incarnation, OptionalDouble limit, long atMs) {
        return limit.isPresent()
                ? placement.limitAdvertised(incarnation, limit.getAsDouble(), atMs)
                : placement.limitNotAdvertised(incarnation, atMs);
    }

    private void end(SimTry t, Flight flight) {
        flights.remove(t);
        calls.remove(t);
        placement.ended(flight.call, flight.target, flight.events > 0, time.wholeMs());
        pump();
    }

    @Override
    public void leave(SimTry t) {
        Call call = calls.get(t);
        Flight flight = flights.get(t);
        if (flight != null) {
            SimEngine engine = engines.get(flight.target.info().id());
            time.after(FAR_MS, () -> engine.cancel(t.run()));
            end(t, flight);
        } else if (call != null) {
            waiting.remove(call);
            placement.withdraw(call);
            calls.remove(t);
        }
    }
}
