package org.onyxhinge.router.forward;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.vertx.core.Vertx;
import org.onyxhinge.runtime.ReadBarrier;

/**
 * Calls that are held for a limited time until the configuration that decides them is there: the first one, or a newer
 * confirmation of the one in force. Confined to the event loop.
 */
final class CallsAwaitingConfig {

    /**
     * How long calls wait for the first configuration. A starting router receives it within this time unless the store
     * is unavailable.
     */
    private static final long FIRST_WAIT_MS = 600;

    private final Vertx vertx;
    private final ReadBarrier reads;
    private final Set<Exchange> unconfigured = new LinkedHashSet<>();
    private final AwaitedProof confirmation;
    private final Map<Exchange, Runnable> unconfirmed = new HashMap<>();

    CallsAwaitingConfig(Vertx vertx, ReadBarrier reads) {
        this.vertx = vertx;
        this.reads = reads;
        this.confirmation = new AwaitedProof(vertx, reads);
    }

    /** What waits for a newer confirmation. */
    AwaitedProof confirmation() {
        return confirmation;
    }

    /** Holds a call that arrived before the first configuration. */
    void holdUntilConfigured(Exchange exchange) {
        unconfigured.add(exchange);
        vertx.setTimer(
                FIRST_WAIT_MS,
                t -> reads.afterRead(() -> {
                    if (unconfigured.remove(exchange)) {
                        exchange.refuseWithoutConfig();
                    }
                }));
    }

    /**
     * Holds a call until the configuration is confirmed, or that turns out to be impossible; it is checked again then.
     *
     * @return false if no confirmation is to be expected now
     */
    boolean holdUntilConfirmed(Exchange exchange) {
        Runnable checkAgain = () -> {
            unconfirmed.remove(exchange);
            exchange.check();
        };
        boolean held = confirmation.await(checkAgain);
        if (held) {
            unconfirmed.put(exchange, checkAgain);
        }
        return held;
    }

    /** A configuration is in force. */
    void configured() {
        List<Exchange> released = List.copyOf(unconfigured);
        unconfigured.clear();
        released.forEach(Exchange::check);
    }

    /** Removes a call that has ended. */
    void remove(Exchange exchange) {
        unconfigured.remove(exchange);
        Runnable checkAgain = unconfirmed.remove(exchange);
        if (checkAgain != null) {
            confirmation.remove(checkAgain);
        }
    }
}
