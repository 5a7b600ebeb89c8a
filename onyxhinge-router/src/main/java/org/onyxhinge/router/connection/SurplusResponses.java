package org.onyxhinge.router.connection;

import java.util.HashMap;
import java.util.Map;

import org.jboss.logging.Logger;

/**
 * Targets that have sent responses or other bytes that belong to no call. If these cannot be told from the responses
 * that are due, a connection to the target carries one call only, since on its first call no response to an earlier one
 * can arrive.
 */
final class SurplusResponses {

    /** How long after the last such bytes a target counts as one that sends them. */
    static final long MEMORY_MS = 30_000;

    private static final Logger LOG = Logger.getLogger(SurplusResponses.class);

    private final Map<String, Sender> senders = new HashMap<>();

    /**
     * A target that sends surplus bytes.
     *
     * @param untilMs until when it counts as such
     * @param singleUse whether its connections carry one call only
     */
    private record Sender(long untilMs, boolean singleUse) {}

    /**
     * Records surplus bytes of a target.
     *
     * @param what describes them
     * @param identified whether they are a response whose id tells it from those that are due
     */
    void received(String incarnation, long connection, String what, boolean identified, long nowMs) {
        Sender before = senders.get(incarnation);
        Sender now = new Sender(nowMs + MEMORY_MS, !identified || before != null && before.singleUse);
        senders.put(incarnation, now);
        if (before == null || before.singleUse != now.singleUse) {
            LOG.warnf(
                    "target sends surplus responses incarnation=%s connection=%d what=\"%s\" singleUse=%b",
                    incarnation, connection, what, now.singleUse);
        }
    }

    /** Whether a connection to a target may carry one call only. */
    boolean isSingleUse(String incarnation) {
        Sender sender = senders.get(incarnation);
        return sender != null && sender.singleUse;
    }

    /** Forgets targets that have sent none for a while. */
    void sweep(long nowMs) {
        senders.entrySet().removeIf(e -> {
            boolean over = nowMs >= e.getValue().untilMs;
            if (over) {
                LOG.infof("target sends no more surplus responses incarnation=%s", e.getKey());
            }
            return over;
        });
    }

    /** The targets, by incarnation, and whether their connections carry one call only. */
    Map<String, Boolean> targets() {
        Map<String, Boolean> out = new HashMap<>();
        senders.forEach((incarnation, sender) -> out.put(incarnation, sender.singleUse));
        return out;
    }
}
