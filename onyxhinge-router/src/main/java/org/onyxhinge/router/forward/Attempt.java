package org.onyxhinge.router.forward;

import java.util.Locale;
import java.util.Optional;

import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import org.onyxhinge.core.connection.ConnectionState;
import org.onyxhinge.core.place.Call;
import org.onyxhinge.core.place.TargetState;
import org.onyxhinge.router.connection.TargetConnection;
import org.onyxhinge.wire.MonotonicClock;
import org.onyxhinge.wire.http.InterimResponses;

/**
 * One attempt to send a call to one target: acquires a connection, sends the call, and reports each step to its owner.
 * It ends exactly once; after that nothing more is reported and the target's slot is free.
 */
final class Attempt {

    /** Maximum size of a response body that is buffered completely before it is forwarded. */
    private static final int MAX_BUFFERED_BYTES = 8 << 20;

    private static final String TOO_LARGE = "response body too large";

    /** A response that is due behind one to an earlier call has mostly begun by then. */
    private static final long UNANSWERED_MS = 500;

    /** A target may cut a response that was not read for this long; its own limit is some seconds. */
    private static final long MIN_UNREAD_MS = 1_000;

    private final Forwarder forwarder;
    private final AttemptOwner owner;
    private final Call call;
    private final TargetState target;
    private final long ownPrefillTokens;
    private final AnswerObserver observer;
    private TargetConnection connection;
    /** Whether a connection from the pool has been replaced, since it was closed. */
    private boolean replaced;

    private HttpClientRequest request;
    private HttpClientResponse response;
    private boolean requestWritten;
    private boolean firstByteSeen;
    private boolean responseEnded;
    /** Whether the response is known to be whole. One that ended with its connection may have been cut. */
    private boolean provenWhole;

    private boolean ended;
    private long sentAtMs = -1;
    /** Since when the response may have been among those that were skipped; -1 if it was not. */
    private long unansweredSinceMs = -1;

    private long lastByteAtMs;
    /** Whether this router has stopped reading the response because its caller reads slowly. */
    private boolean paused;

    private long pausedAtMs;
    /** The longest time for which this router did not read the response. */
    private long longestUnreadMs;

    private BodyBuffer body;
    private ReadPace pace;

    private Attempt(Forwarder forwarder, AttemptOwner owner, Call call, TargetState target) {
        this.forwarder = forwarder;
        this.owner = owner;
        this.call = call;
        this.target = target;
        this.ownPrefillTokens = target.ownPrefillTokens();
        this.observer = forwarder.rollouts().observe(owner.routeName(), call, target);
    }

    /** Starts an attempt; the placement has already counted it against the target. */
    static Attempt start(Forwarder forwarder, AttemptOwner owner, Call call, TargetState target) {
        Attempt a = new Attempt(forwarder, owner, call, target);
        forwarder.calls().add(a);
        return a;
    }

    /** Acquires a connection and sends the call. */
    void run(int maxIdleConnections) {
        forwarder
                .connections()
                .acquire(target.info(), maxIdleConnections, owner.requestId(), bodilessResponse())
                .onSuccess(c -> connected(c, maxIdleConnections))
                .onFailure(e -> {
                    forwarder.crashQuarantine().connectFailed(target, e);
                    forwarder.placement().unreachable(target, MonotonicClock.nowMs());
                    endNotSent("connect: " + e.getMessage());
                });
    }

    private void endNotSent(String why) {
        if (finish(false)) {
            owner.notSent(this, why);
        }
    }

    /**
     * Sends the call on a connection, unless its caller turns out to have left, or its target. If the connection was in
     * the pool and turns out to be closed, another one is used.
     */
    private void connected(TargetConnection c, int maxIdleConnections) {
        forwarder
                .targets()
                .listProof()
                .whenCurrent(() -> forwarder.reads().afterRead(() -> {
                    if (!c.isClosed() || ended) {
                        sendOn(c);
                    } else if (c.calls() > 0 && !replaced) {
                        replaced = true;
                        run(maxIdleConnections);
                    } else {
                        endNotSent("connection closed before the call was sent");
                    }
                }));
    }

    private void sendOn(TargetConnection c) {
        if (ended) {
            forwarder.connections().release(c, null);
            return;
        }
        RequestOptions options = new RequestOptions();
        if (!target.acceptsSends(call, MonotonicClock.nowMs()) || !owner.prepare(options, this)) {
            forwarder.connections().release(c, null);
            endNotSent("call ended before it was sent");
            return;
        }
        connection = c;
        c.request(options).onSuccess(this::send).onFailure(e -> endNotSent("request: " + e.getMessage()));
    }

    private void send(HttpClientRequest r) {
        request = r;
        if (ended) {
            connection.close();
            return;
        }
        if (connection.unusableBecause().isPresent()) {
            endNotSent("connection closed before the call was sent");
            return;
        }
        // The connection keeps the reader while it lies idle, so it holds nothing of the exchange but the id.
        CallProtocol protocol = forwarder.protocol();
        String requestId = owner.requestId();
        connection.callSent(requestId, bodilessResponse(), headers -> protocol.readIdentity(headers, requestId));
        sentAtMs = MonotonicClock.nowMs();
        lastByteAtMs = sentAtMs;
        r.exceptionHandler(this::connectionLost);
        InterimResponses.limit(r, () -> endWithFailure("interim responses without end"));
        r.response().onSuccess(this::responseHead).onFailure(this::connectionLost);
        Buffer out = owner.body();
        boolean bodiless = out.length() == 0 && (r.getMethod() == HttpMethod.GET || r.getMethod() == HttpMethod.HEAD);
        Future<Void> written = bodiless ? r.end() : r.end(out);
        // What a target has not read stays in memory, even if it answers before.
        owner.memory().keepDuring(written);
        written.onSuccess(v -> {
            requestWritten = true;
            releaseIfComplete();
        });
    }

    private boolean bodilessResponse() {
        return owner.method() == HttpMethod.HEAD;
    }

    private void responseHead(HttpClientResponse r) {
        if (ended) {
            return;
        }
        response = r;
        bytesReceived();
        ResponseHead head = forwarder.protocol().readResponse(r.statusCode(), r.headers(), owner.requestId());
        r.exceptionHandler(this::connectionLost);
        owner.responseReceived(head);
        forwarder.targetLimits().responseReceived(target, head, sentAtMs);
        heedNotices(head);
        if (head.notRun()) {
            observer.failed();
            if (finish(false)) {
                owner.notRun(this, head, r);
            }
        } else if (!head.trusted() && head.success()) {
            endWithFailure("response without signature");
        } else if (head.success() && owner.streamBegins(this, head, r)) {
            pace = ReadPace.of(forwarder.vertx(), r);
            r.handler(guarded(this::streamBytes)).endHandler(v -> streamEnded());
        } else {
            buffer(head, r);
        }
    }

    /** Applies what the response says about the target itself, whatever becomes of the call. */
    private void heedNotices(ResponseHead head) {
        if (head.leaving()) {
            forwarder.targets().shutdownAnnounced(target);
        }
        if (head.notRun() || head.retryAfterMs() > 0) {
            forwarder.targets().callRefused(target, head.retryAfterMs());
        }
    }

    private void buffer(ResponseHead head, HttpClientResponse r) {
        long declaredBytes = ResponseFraming.declaredLength(request.getMethod(), r);
        if (declaredBytes > MAX_BUFFERED_BYTES) {
            endWithFailure(TOO_LARGE);
            return;
        }
        r.handler(guarded(this::bufferBytes));
        r.endHandler(v -> {
            firstByte();
            owner.memory().grown();
            if (ended || body.isWhole()) {
                responseEnded(() -> complete(head.status() < 500, () -> owner.answered(this, head, r, body.buffer())));
            } else {
                partLost("part of the response missing");
            }
        });
        whenReserved(Math.max(0, declaredBytes), false, () -> body = BodyBuffer.of(declaredBytes));
    }

    private void bufferBytes(Buffer bytes) {
        bytesReceived();
        firstByte();
        if (ended) {
            return;
        }
        if (body.length() + bytes.length() > MAX_BUFFERED_BYTES) {
            endWithFailure(TOO_LARGE);
        } else {
            whenReserved(body.growthBytes(bytes), true, () -> body.append(bytes));
        }
    }

    /**
     * Does something once memory is reserved for it; the response is not read before.
     *
     * @param growth whether more may be needed later
     */
    private void whenReserved(long bytes, boolean growth, Runnable action) {
        BodyMemory.Share memory = owner.memory();
        if (memory.tryReserve(bytes, growth)) {
            action.run();
        } else if (!memory.fits(bytes)) {
            endWithFailure(TOO_LARGE);
        } else {
            forwarder.metrics().event("memory.responses_delayed");
            pause();
            memory.reserveLater(bytes, growth, () -> {
                if (!ended) {
                    action.run();
                    resume();
                }
            });
        }
    }

    private void streamBytes(Buffer bytes) {
        if (!ended) {
            bytesReceived();
            firstByte();
            pace.received(bytes.length(), lastByteAtMs);
            observer.streamBytes(lastByteAtMs);
            owner.streamBytes(this, bytes);
        }
    }

    /** Ends the attempt if a handler of the response's bytes fails: what it was given is lost. */
    private Handler<Buffer> guarded(Handler<Buffer> handler) {
        return bytes -> {
            try {
                handler.handle(bytes);
            } catch (RuntimeException | Error e) {
                partLost("part of the response lost: " + e);
                throw e;
            }
        };
    }

    private void partLost(String why) {
        if (finish(false)) {
            owner.partLost(this, why);
        }
    }

    private void streamEnded() {
        if (!ended && owner.isInsideEvent(this)) {
            connectionLost("stream ended inside an event");
        } else {
            responseEnded(() -> complete(true, () -> owner.streamEnded(this)));
        }
    }

    /**
     * Handles the end of the response. If nothing but the end of the connection shows it, the
     * target may have terminated in the middle of the response.
     *
     * @param whole called if the response is whole as far as can be known
     */
    private void responseEnded(Runnable whole) {
        if (ended) {
            return;
        }
        responseEnded = true;
        if (ResponseFraming.hasDefinedLength(request.getMethod(), response)) {
            provenWhole = true;
            whole.run();
            return;
        }
        if (!requestWritten && !ResponseFraming.announcesClose(response)) {
            endWithFailure("response without length ended before the request was written");
            return;
        }
        forwarder
                .crashQuarantine()
                .terminatedWithResponse(owner.suspects(), target)
                .onSuccess(terminated -> {
                    if (terminated) {
                        endWithFailure("target terminated at the end of a response without length");
                    } else if (!ended) {
                        provenWhole = target.isReady();
                        whole.run();
                    }
                });
    }

    private void complete(boolean good, Runnable report) {
        forwarder.placement().answered(target, good, MonotonicClock.nowMs());
        observer.ended(good);
        if (finish(true)) {
            report.run();
        }
    }

    private void bytesReceived() {
        lastByteAtMs = MonotonicClock.nowMs();
        forwarder.placement().heard(target, lastByteAtMs);
    }

    private void firstByte() {
        if (!firstByteSeen && !ended) {
            firstByteSeen = true;
            observer.firstByte(lastByteAtMs - sentAtMs, forwarder.loopDelay().unreadMs(lastByteAtMs));
            forwarder.placement().firstByte(call, target, lastByteAtMs - sentAtMs, ownPrefillTokens);
        }
    }

    private long unreadMs(long nowMs) {
        return Math.max(longestUnreadMs, paused ? nowMs - pausedAtMs : 0);
    }

    private void connectionLost(Throwable e) {
        if (responseEnded) {
            return;
        }
        Optional<ConnectionState.Reason> closedHere = connection == null
                ? Optional.empty()
                : connection.unusableBecause().filter(r -> r != ConnectionState.Reason.MALFORMED);
        if (closedHere.isPresent()) {
            closedHere(closedHere.get());
        } else if (connection != null && connection.skippedResponses() > 0 && response == null) {
            lostBehindOthers("connection lost");
        } else {
            connectionLost(e.getMessage());
        }
    }

    /** Ends the attempt because this router has closed the connection for what came on it. */
    private void closedHere(ConnectionState.Reason reason) {
        String why = reason.name().toLowerCase(Locale.ROOT);
        if (reason == ConnectionState.Reason.WRONG_ID) {
            endWithFailure(why);
        } else {
            lostBehindOthers(why);
        }
    }

    /** Ends the attempt behind responses to other calls, which say nothing about how the target has taken this one. */
    private void lostBehindOthers(String why) {
        if (finish(false)) {
            owner.connectionBroke(this, why + ", " + connection.skippedResponses() + " other responses skipped");
        }
    }

    private void connectionLost(String why) {
        if (!ended && unreadMs(MonotonicClock.nowMs()) >= MIN_UNREAD_MS) {
            // The target has cut a response that this router did not read; that says nothing about its health.
            forwarder.metrics().event("readers.target_cut");
            if (finish(false)) {
                owner.connectionBroke(this, "response cut after not being read for " + longestUnreadMs + " ms");
            }
            return;
        }
        if (!ended) {
            forwarder.crashQuarantine().connectionBroke(owner.suspects(), target);
        }
        endWithFailure(why);
    }

    private void endWithFailure(String why) {
        if (!ended) {
            forwarder.placement().broken(target);
            observer.failed();
            if (finish(false)) {
                owner.connectionBroke(this, why);
            }
        }
    }

    /** Ends the attempt because what the target sends is no response. */
    void reject(String why) {
        endWithFailure(why);
    }

    /** Ends the attempt if its response may have been among those that were skipped, and no other one follows. */
    void giveUpIfUnanswered(long nowMs) {
        if (ended || connection == null || !connection.mayStayUnanswered()) {
            unansweredSinceMs = -1;
        } else if (unansweredSinceMs < 0) {
            unansweredSinceMs = nowMs;
        } else if (nowMs - unansweredSinceMs >= UNANSWERED_MS) {
            lostBehindOthers("no response that names the call");
        }
    }

    /** Reports the target as silent. It gets no new calls for a while. */
    void silent(long nowMs) {
        observer.failed();
        forwarder.placement().silent(target, nowMs);
        owner.silent(this, "silent for " + silentMs(nowMs) + " ms");
    }

    /** Aborts the attempt because the time for its answer is over. */
    void expire() {
        if (isRunning()) {
            observer.failed();
        }
        cancel();
    }

    /** Aborts the attempt immediately; nothing more is reported. */
    void cancel() {
        finish(false);
    }

    /** Releases the target's slot; closes the connection unless the response is complete. */
    private boolean finish(boolean complete) {
        if (ended) {
            return false;
        }
        ended = true;
        forwarder.calls().remove(this);
        owner.attemptEnded(connection);
        forwarder.placement().ended(call, target, firstByteSeen, MonotonicClock.nowMs());
        if (complete) {
            releaseIfComplete();
        } else if (connection != null) {
            connection.abort();
        }
        forwarder.pumpSoon();
        return true;
    }

    /**
     * Returns the connection to the pool once the response has ended and the request has been written. A target may
     * respond before it has read the whole request; on a reused connection it would take the unread rest for the next
     * request.
     */
    private void releaseIfComplete() {
        if (!ended || !requestWritten || connection == null || response == null) {
            return;
        }
        TargetConnection c = connection;
        connection = null;
        if (ResponseFraming.announcesClose(response)
                || !ResponseFraming.hasDefinedLength(request.getMethod(), response)) {
            c.close();
        } else {
            forwarder.connections().release(c, response.getHeader("Keep-Alive"));
        }
    }

    /** Stops reading the response until the caller has read what is buffered for it. */
    void pause() {
        if (response != null && !paused) {
            paused = true;
            pausedAtMs = MonotonicClock.nowMs();
            stopReading();
        }
    }

    /** Continues reading; the target's silence is measured from now on. */
    void resume() {
        if (paused) {
            lastByteAtMs = MonotonicClock.nowMs();
            longestUnreadMs = unreadMs(lastByteAtMs);
            observer.notRead(lastByteAtMs - pausedAtMs);
            paused = false;
            continueReading();
        }
    }

    private void stopReading() {
        if (pace == null) {
            response.pause();
        } else {
            pace.stop();
        }
    }

    private void continueReading() {
        if (pace == null) {
            response.resume();
        } else {
            pace.go();
        }
    }

    TargetState target() {
        return target;
    }

    Call call() {
        return call;
    }

    boolean repeatable() {
        return owner.repeatable();
    }

    boolean firstByteSeen() {
        return firstByteSeen;
    }

    /** Whether the response is known to be whole. */
    boolean provenWhole() {
        return provenWhole;
    }

    /** When the call was sent; -1 before that. */
    long sentAtMs() {
        return sentAtMs;
    }

    /** True while the target may be executing the call. */
    boolean isRunning() {
        return !ended && sentAtMs >= 0;
    }

    /**
     * Time since the last byte was received, the call was sent, or reading was resumed; 0 before the call is sent and
     * while this router itself does not read.
     */
    long silentMs(long nowMs) {
        return sentAtMs < 0 || paused ? 0 : nowMs - lastByteAtMs;
    }
}
