package org.onyxhinge.router.forward;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import io.vertx.core.http.HttpConnection;
import org.onyxhinge.core.place.TargetRole;
import org.onyxhinge.core.place.TargetState;
import org.onyxhinge.core.quarantine.Fingerprint;

/** The exchanges with callers that have no final response yet, and their attempts at targets. */
final class CallsInProgress {

    private final Set<Exchange> exchanges = new HashSet<>();
    private final Set<Attempt> attempts = new HashSet<>();

    void add(Exchange exchange) {
        exchanges.add(exchange);
    }

    void remove(Exchange exchange) {
        exchanges.remove(exchange);
    }

    void add(Attempt attempt) {
        attempts.add(attempt);
    }

    void remove(Attempt attempt) {
        attempts.remove(attempt);
    }

    int exchangeCount() {
        return exchanges.size();
    }

    int attemptCount() {
        return attempts.size();
    }

    /** Reports the attempts whose targets have been silent for too long. */
    void reportSilent(long nowMs) {
        attempts.stream()
                .filter(a -> SilenceDetector.isTargetLost(a, nowMs))
                .toList()
                .forEach(a -> a.silent(nowMs));
    }

    /** Ends the attempts whose responses may have been among those that were skipped. */
    void giveUpUnanswered(long nowMs) {
        List.copyOf(attempts).forEach(a -> a.giveUpIfUnanswered(nowMs));
    }

    /** Refuses the exchanges that have not been sent to a target, because too little time is left for them. */
    void refuseUnsent() {
        List.copyOf(exchanges).forEach(Exchange::refuseUnsent);
    }

    /** Ends all exchanges because the process is about to exit. */
    void abort() {
        List.copyOf(exchanges).forEach(Exchange::abortByShutdown);
    }

    /** Ends the exchanges on a connection that is about to be closed because its caller reads too slowly. */
    void cutReader(HttpConnection connection) {
        exchanges.stream().filter(x -> x.isOn(connection)).toList().forEach(Exchange::readerCut);
    }

    /** Ends the exchanges on a connection that is about to be closed because its caller makes no progress. */
    void abandon(HttpConnection connection, String why) {
        exchanges.stream().filter(x -> x.isOn(connection)).toList().forEach(x -> x.abandon(why));
    }

    /** Ends the exchanges that must not run because of a suspect that has just been quarantined. */
    void quarantined(Fingerprint suspect) {
        exchanges.stream().filter(x -> x.suspects().contain(suspect)).toList().forEach(Exchange::quarantined);
    }

    /** Number of attempts on the targets of a service that get no new calls because of their version. */
    int countOnReplaced(String service) {
        return (int) attempts.stream()
                .map(Attempt::target)
                .filter(t -> !t.role().takesNewCalls() && t.info().service().equals(service))
                .count();
    }

    /** Moves the calls that another version may run off the targets of a service with a role. */
    void moveOff(String service, TargetRole role) {
        exchanges.stream()
                .filter(x -> x.runningOn().filter(t -> isOn(t, service, role)).isPresent())
                .toList()
                .forEach(x -> x.moveAway("its version is being replaced"));
    }

    private static boolean isOn(TargetState target, String service, TargetRole role) {
        return target.role() == role && target.info().service().equals(service);
    }
}
