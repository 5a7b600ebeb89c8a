package org.onyxhinge.tools.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.onyxhinge.core.place.PeerUpdate;
import org.onyxhinge.core.place.PeerUpdateSchedule;
import org.onyxhinge.core.place.PeerUpdates;

/** Sends a simulated router's peer updates to the other routers, at the intervals a real router uses. */
final class PeerUpdateSender {

    /** Delay from one router to another, including decoding. */
    static final double DELAY_MS = 2;

    private final VirtualTime time;
    private final PlacementRouter sender;
    private final List<PlacementRouter> others;
    private final Map<String, SentUpdate> lastSent = new HashMap<>();
    private double lastRoundAtMs;

    private record SentUpdate(double sentAtMs, PeerUpdate update) {}

    PeerUpdateSender(VirtualTime time, PlacementRouter sender, List<PlacementRouter> all) {
        this.time = time;
        this.sender = sender;
        this.others = all.stream().filter(r -> r != sender).toList();
    }

    /** Sends the updates that are due, and requests slots from other groups if needed. */
    void sendDue() {
        sender.placement()
                .slotsToBorrow(time.nowMillis())
                .forEach(request -> others.stream()
                        .filter(r -> r.id().equals(request.router()))
                        .forEach(r -> time.after(DELAY_MS, () -> r.slotsWanted(sender.id(), request))));
        long intervalMs = PeerUpdateSchedule.intervalMs(
                sender.placement().nearRouters(), sender.placement().callsWait());
        if (time.nowMs() < lastRoundAtMs + intervalMs) {
            return;
        }
        lastRoundAtMs = time.nowMs();
        PeerUpdates updates = sender.placement().news(time.nowMillis());
        for (PlacementRouter receiver : others) {
            PeerUpdate update = updates.forRouter(receiver.id());
            SentUpdate previous =
                    lastSent.getOrDefault(receiver.id(), new SentUpdate(Double.NEGATIVE_INFINITY, PeerUpdate.none()));
            if (PeerUpdateSchedule.isDue(update, previous.update(), time.nowMs() - previous.sentAtMs())) {
                lastSent.put(receiver.id(), new SentUpdate(time.nowMs(), update));
                time.after(DELAY_MS, () -> receiver.peerUpdateReceived(sender.id(), update));
            }
        }
    }
}
