package org.onyxhinge.router.forward;

import java.util.LinkedHashSet;
import java.util.List;
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

    /**
     * How long calls wait for a confirmation. Only a long configuration, or a router that lacks processor time, takes
     * as long: a read that the store does not answer is given up before.
     */
    private static final long CONFIRMATION_WAIT_MS = 1_000;

    private final Vertx vertx;
    private final ReadBarrier reads;
    private final Set<Exchange> unconfigured = new LinkedHashSet<>();
    private final Set<Exchange> unconfirmed = new LinkedHashSet<>();
    private Runnable askForConfirmation = () -> {};
    private boolean confirmationExpected = true;

    CallsAwaitingConfig(Vertx vertx, ReadBarrier reads) {
        this.vertx = vertx;
        this.reads = reads;
    }

    /** Sets what asks for a newer confirmation of the configuration in force. */
    void askBy(Runnable ask) {
        askForConfirmation = ask;
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
        askForConfirmation.run();
        if (!confirmationExpected) {
            return false;
        }
        unconfirmed.add(exchange);
        vertx.setTimer(
                CONFIRMATION_WAIT_MS,
                t -> reads.afterRead(() -> {
                    if (unconfirmed.remove(exchange)) {
                        exchange.check();
                    }
                }));
        return true;
    }

    /** A configuration is in force. */
    void configured() {
        release(unconfigured);
    }

    /**
     * An attempt to confirm the configuration has ended.
     *
     * @param successful whether it is confirmed now
     */
    void confirmationTried(boolean successful) {
        confirmationExpected = successful;
        release(unconfirmed);
    }

    private static void release(Set<Exchange> held) {
        List<Exchange> released = List.copyOf(held);
        held.clear();
        released.forEach(Exchange::check);
    }

    /** Removes a call that has ended. */
    void remove(Exchange exchange) {
        unconfigured.remove(exchange);
        unconfirmed.remove(exchange);
    }
}
