package org.onyxhinge.router.forward;

import java.util.Optional;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import org.onyxhinge.core.place.AdvertisedLimit;
import org.onyxhinge.core.place.Call;
import org.onyxhinge.core.place.TargetState;
import org.onyxhinge.core.quarantine.RequestFingerprint;
import org.onyxhinge.wire.MonotonicClock;

/**
 * One try of a call at one target: takes a connection, sends the call, and reports each step to its
 * owner. It ends exactly once; after that nothing more is reported and the target's place is free.
 */
final class Attempt {

    /** An answer that is kept whole before it is passed on is at most this large. */
    private static final int MAX_BUFFERED_BYTES = 8 << 20;

    private final Forwarder forwarder;
    private final Owner owner;
    private final Call call;
    private final TargetState target;
    private final long tokensToRead;
    private TargetConnection connection;
    private HttpClientRequest request;
    private HttpClientResponse response;
    private boolean written;
    private boolean firstByteSeen;
    private boolean ended;
    private long sentAtMs = -1;
    private long heardAtMs;
    private Buffer body;

    /** Hears what becomes of an attempt. */
    interface Owner {

        /** Fills in the request for the target; false when it must no longer be sent. */
        boolean prepare(RequestOptions options, TargetState target);

        /** Whether the call may be sent to another target after this one may have run it. */
        boolean repeatable();

        /** What is sent as the body. */
        Buffer body();

        /** The caller's id of the call. */
        String requestId();

        /** What the caller asks for, whatever the id. */
        RequestFingerprint fingerprint();

        /** Hears what the head of the answer says of the target's rate limit. */
        void limitNamed(AdvertisedLimit limit);

        /** No byte was sent; it has not run. */
        void unsent(Attempt attempt, String why);

        /** The target says that it did not run the call. */
        void notRun(Attempt attempt, AnswerHead head, HttpClientResponse response);

        /** A whole answer has come. */
        void answered(Attempt attempt, AnswerHead head, HttpClientResponse response, Buffer body);

        /** A stream of events begins; false stops the attempt. */
        boolean streamBegins(Attempt attempt, AnswerHead head, HttpClientResponse response);

        /** Bytes of the stream. */
        void streamBytes(Attempt attempt, Buffer bytes);

        /** The stream is whole. */
        void streamEnded(Attempt attempt);

        /** It broke off after it was sent; it may have run. */
        void broke(Attempt attempt, String why);

        /** Nothing has come for too long; it goes on, and may still be answered, unless it is cancelled. */
        void silent(Attempt attempt, String why);
    }

    private Attempt(Forwarder forwarder, Owner owner, Call call, TargetState target) {
        this.forwarder = forwarder;
        this.owner = owner;
        this.call = call;
        this.target = target;
        this.tokensToRead = target.ownPrefillTokens();
    }

    /** Starts a try; the placement has already counted it on the target. */
    static Attempt start(Forwarder forwarder, Owner owner, Call call, TargetState target) {
        Attempt a = new Attempt(forwarder, owner, call, target);
        forwarder.attempts().add(a);
        return a;
    }

    /** Takes a connection and sends. */
    void run(int mostConnections) {
        forwarder
                .connections()
                .acquire(target.info(), mostConnections)
                .onSuccess(this::connected)
                .onFailure(e -> {
                    forwarder.crashing().notReached(target, e);
                    forwarder.placement().unreachable(target, MonotonicClock.nowMs());
                    endUnsent("connect: " + e.getMessage());
                });
    }

    private void endUnsent(String why) {
        if (finish(false)) {
            owner.unsent(this, why);
        }
    }

    private void connected(TargetConnection c) {
        connection = c;
        if (ended) {
            forwarder.connections().release(c, null);
            return;
        }
        RequestOptions options = new RequestOptions();
        if (!target.takesCalls() || !owner.prepare(options, target)) {
            forwarder.connections().release(c, null);
            connection = null;
            endUnsent("no longer to be sent");
            return;
        }
        c.http().request(options).onSuccess(this::send).onFailure(e -> endUnsent("request: " + e.getMessage()));
    }

    private void send(HttpClientRequest r) {
        request = r;
        if (ended) {
            connection.http().close();
            return;
        }
        sentAtMs = MonotonicClock.nowMs();
        heardAtMs = sentAtMs;
        r.exceptionHandler(this::connectionLost);
        r.response().onSuccess(this::head).onFailure(this::connectionLost);
        Buffer out = owner.body();
        boolean bodiless = out.length() == 0 && (r.getMethod() == HttpMethod.GET || r.getMethod() == HttpMethod.HEAD);
        (bodiless ? r.end() : r.end(out)).onSuccess(v -> {
            written = true;
            releaseIfComplete();
        });
    }

    private void head(HttpClientResponse r) {
        if (ended) {
            return;
        }
        response = r;
        heard();
        AnswerHead head = forwarder.protocol().readAnswer(r.statusCode(), r.headers(), owner.requestId());
        r.exceptionHandler(this::connectionLost);
        owner.limitNamed(head.limit());
        forwarder.limited().answered(target, head, sentAtMs);
        if (head.foreign()) {
            endBroken("answer to another call");
        } else if (head.notRun()) {
            forwarder.placement().shed(target, MonotonicClock.nowMs());
            if (finish(false)) {
                owner.notRun(this, head, r);
            }
        } else if (!head.trusted() && head.success()) {
            endBroken("answer without signature");
        } else if (head.success() && owner.streamBegins(this, head, r)) {
            r.handler(this::streamBytes).endHandler(v -> streamEnded());
        } else {
            buffer(head, r);
        }
    }

    private void buffer(AnswerHead head, HttpClientResponse r) {
        body = Buffer.buffer();
        r.handler(b -> {
            heard();
            firstByte();
            body.appendBuffer(b);
            if (body.length() > MAX_BUFFERED_BYTES) {
                endBroken("answer too large");
            }
        });
        r.endHandler(v -> {
            firstByte();
            forwarder.placement().answered(target, head.status() < 500, MonotonicClock.nowMs());
            if (finish(true)) {
                owner.answered(this, head, r, body);
            }
        });
    }

    private void streamBytes(Buffer bytes) {
        if (!ended) {
            heard();
            firstByte();
            owner.streamBytes(this, bytes);
        }
    }

    private void streamEnded() {
        forwarder.placement().answered(target, true, MonotonicClock.nowMs());
        if (finish(true)) {
            owner.streamEnded(this);
        }
    }

    private void heard() {
        heardAtMs = MonotonicClock.nowMs();
        forwarder.placement().heard(target, heardAtMs);
    }

    private void firstByte() {
        if (!firstByteSeen && !ended) {
            firstByteSeen = true;
            forwarder.placement().firstByte(call, target, heardAtMs - sentAtMs, tokensToRead);
        }
    }

    private void connectionLost(Throwable e) {
        if (!ended) {
            forwarder.crashing().broke(owner.fingerprint(), target);
        }
        endBroken(e.getMessage());
    }

    private void endBroken(String why) {
        if (!ended) {
            forwarder.placement().broken(target);
            if (finish(false)) {
                owner.broke(this, why);
            }
        }
    }

    /** Tells the owner that nothing has come for too long; the target gets no new calls for a while. */
    void silent(long nowMs) {
        forwarder.placement().silent(target, nowMs);
        owner.silent(this, "silent for " + silentMs(nowMs) + " ms");
    }

    /** Stops the target's work at once; nothing more is reported. */
    void cancel() {
        finish(false);
    }

    /** Frees the target's place; closes the connection unless a whole answer has come. */
    private boolean finish(boolean whole) {
        if (ended) {
            return false;
        }
        ended = true;
        forwarder.attempts().remove(this);
        forwarder.placement().ended(call, target, firstByteSeen, MonotonicClock.nowMs());
        if (whole) {
            releaseIfComplete();
        } else if (connection != null) {
            connection.http().close();
        }
        forwarder.pumpSoon();
        return true;
    }

    /**
     * Gives the connection back once the answer has ended and the call has been written. A target may
     * answer before it has read the whole call; what it has not read would be taken for the next one.
     */
    private void releaseIfComplete() {
        if (!ended || !written || connection == null || response == null) {
            return;
        }
        TargetConnection c = connection;
        connection = null;
        String keep = response.getHeader("Connection");
        boolean framed = response.getHeader("Content-Length") != null
                || Optional.ofNullable(response.getHeader("Transfer-Encoding")).isPresent();
        if (keep != null && keep.equalsIgnoreCase("close") || !framed && response.statusCode() != 204) {
            c.http().close();
        } else {
            forwarder.connections().release(c, response.getHeader("Keep-Alive"));
        }
    }

    void pause() {
        if (response != null) {
            response.pause();
        }
    }

    void resume() {
        if (response != null) {
            response.resume();
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

    /** True while the target may be running the call. */
    boolean underWay() {
        return !ended && sentAtMs >= 0;
    }

    /** Time since a byte last came, or since it was sent; 0 before that. */
    long silentMs(long nowMs) {
        return sentAtMs < 0 ? 0 : nowMs - heardAtMs;
    }
}
