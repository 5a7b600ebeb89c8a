package org.onyxhinge.router.forward;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import org.onyxhinge.core.quarantine.Suspects;
import org.onyxhinge.router.connection.TargetConnection;

/** Supplies the request of an attempt and receives its events. */
interface AttemptOwner {

    /** Fills in the request for the target; false if the call must no longer be sent. */
    boolean prepare(RequestOptions options, Attempt attempt);

    /** Whether the call may be sent to another target after this one may have executed it. */
    boolean repeatable();

    /** The request body. */
    Buffer body();

    /** Where memory for buffered responses is reserved. */
    BodyMemory.Share memory();

    /** The request id that the caller chose. */
    String requestId();

    /** The request's method. */
    HttpMethod method();

    /** Name of the caller's route. */
    String routeName();

    /** What in the call may be at fault if the target ends. */
    Suspects suspects();

    /** Called with the head of a response. */
    void responseReceived(ResponseHead head);

    /** Called when the attempt failed before any byte was sent; the call was not executed. */
    void notSent(Attempt attempt, String why);

    /** Called when the target states that it did not execute the call. */
    void notRun(Attempt attempt, ResponseHead head, HttpClientResponse response);

    /** Called with a complete response. */
    void answered(Attempt attempt, ResponseHead head, HttpClientResponse response, Buffer body);

    /** Called when an event stream begins; if it returns false, the response is buffered instead. */
    boolean streamBegins(Attempt attempt, ResponseHead head, HttpClientResponse response);

    /** Called with bytes of the stream. */
    void streamBytes(Attempt attempt, Buffer bytes);

    /** Whether the target has sent part of an event. */
    boolean isInsideEvent(Attempt attempt);

    /** Called when the stream has ended normally. */
    void streamEnded(Attempt attempt);

    /** Called when the connection broke after the call was sent; the call may have been executed. */
    void connectionBroke(Attempt attempt, String why);

    /** Called when part of the response was received and lost, so that the response must not be used. */
    void partLost(Attempt attempt, String why);

    /**
     * Called when the target has been silent for too long. The attempt stays active and may still be answered
     * unless it is cancelled.
     */
    void silent(Attempt attempt, String why);

    /**
     * Called once when the attempt ends, before its outcome is reported.
     *
     * @param connection the connection that the call was sent on; null if it was not sent
     */
    void attemptEnded(TargetConnection connection);
}
