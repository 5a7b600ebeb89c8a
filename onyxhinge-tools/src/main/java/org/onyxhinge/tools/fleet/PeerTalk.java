package org.onyxhinge.tools.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.onyxhinge.core.place.PeerUpdate;
import org.onyxhinge.core.place.PeerUpdateSchedule;
import org.onyxhinge.core.place.PeerUpdates;

/** What one simulated router tells the others, as often as a real one does. */
final class PeerTalk {

    /** From one router to another, decoding included. */
    static final double DELAY_MS = 2;

    private final VirtualTime time;
    private final ProductRouter from;
    private final List<ProductRouter> others;
    private final Map<String, Told> told = new HashMap<>();
    private double beatAtMs;

    private record Told(double atMs, PeerUpdate news) {}

    PeerTalk(VirtualTime time, ProductRouter from, List<ProductRouter> all) {
        this.time = time;
        this.from = from;
        this.others = all.stream().filter(r -> r != from).toList();
    }

    /** Tells those that are due what is news to them, and asks for slots that are wanted. */
    void beat() {
        from.placement()
                .slotsToBorrow(time.wholeMs())
                .ifPresent(request -> others.stream()
                        .filter(r -> r.id().equals(request.router()))
                        .forEach(r -> time.after(DELAY_MS, () -> r.slotsWanted(from.id(), request))));
        long intervalMs = PeerUpdateSchedule.intervalMs(
                from.placement().nearRouters(), from.placement().callsWait());
        if (time.nowMs() < beatAtMs + intervalMs) {
            return;
        }
        beatAtMs = time.nowMs();
        PeerUpdates news = from.placement().news(time.wholeMs());
        for (ProductRouter to : others) {
            PeerUpdate now = news.forRouter(to.id());
            Told before = told.getOrDefault(to.id(), new Told(Double.NEGATIVE_INFINITY, PeerUpdate.none()));
            if (PeerUpdateSchedule.isDue(now, before.news(), time.nowMs() - before.atMs())) {
                told.put(to.id(), new Told(time.nowMs(), now));
                time.after(DELAY_MS, () -> to.heard(from.id(), now));
            }
        }
    }
}
