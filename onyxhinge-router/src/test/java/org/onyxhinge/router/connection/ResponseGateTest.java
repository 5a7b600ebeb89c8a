package org.onyxhinge.router.connection;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.onyxhinge.core.connection.ResponseIdentity;
import org.onyxhinge.wire.http.StrictResponses;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

class ResponseGateTest {

    private final List<String> surplus = new ArrayList<>();
    private final StrictResponses strict = StrictResponses.create();
    private final ResponseGate gate = new ResponseGate(strict, (what, identified) -> surplus.add(what));
    private final EmbeddedChannel channel = new EmbeddedChannel(strict, new HttpClientCodec(), gate);

    private static ResponseReader reader(String id) {
        return headers -> ResponseIdentity.of(headers.getAll("Id"), id);
    }

    private void call(String id) {
        gate.expect(reader(id), false);
        channel.writeOutbound(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"));
        channel.releaseOutbound();
    }

    private static String response(String headers, String body) {
        return "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private static String chunked(String headers, String body) {
        return "HTTP/1.1 200 OK\r\n" + headers + "Transfer-Encoding: chunked\r\n\r\n"
                + Integer.toHexString(body.length()) + "\r\n" + body + "\r\n0\r\n\r\n";
    }

    private void receive(String bytes) {
        channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.US_ASCII));
    }

    /** The bodies that have reached the client, joined. */
    private String passedOn() {
        StringBuilder out = new StringBuilder();
        Object message = channel.readInbound();
        while (message != null) {
            if (message instanceof HttpContent content) {
                out.append(content.content().toString(StandardCharsets.US_ASCII));
            }
            ReferenceCountUtil.release(message);
            message = channel.readInbound();
        }
        return out.toString();
    }

    private void answerFirstCall() {
        call("a");
        receive(response("Id: a\r\n", "first"));
        assertThat(passedOn(), is("first"));
    }

    /** Guards against a response whose call depends on how its bytes are split into reads. */
    @Nested
    class EachSplit {

        private void ownResponseArrivesWithin(String bytes) {
            for (int i = 0; i <= bytes.length(); i++) {
                ResponseGateTest test = new ResponseGateTest();
                test.answerFirstCall();
                test.call("b");
                test.receive(bytes.substring(0, i));
                test.receive(bytes.substring(i));
                assertThat("split at " + i, test.passedOn(), is("second"));
                assertThat(test.gate.isReusable(), is(true));
            }
        }

        @Test
        void ofAResponseBehindOneToAnotherCall() {
            ownResponseArrivesWithin(response("Id: a\r\n", "first") + response("Id: b\r\n", "second"));
        }

        @Test
        void ofAResponseBehindOneWithoutId() {
            ownResponseArrivesWithin(chunked("", "first") + chunked("Id: b\r\n", "second"));
        }

        @Test
        void ofAResponseBehindInterimOnes() {
            ownResponseArrivesWithin("HTTP/1.1 100 Continue\r\n\r\n" + response("Id: a\r\n", "first")
                    + "HTTP/1.1 103 Early Hints\r\n\r\n" + response("Id: b\r\n", "second"));
        }

        @Test
        void ofTheSecondResponseBeforeTheNextCall() {
            String second = response("Id: a\r\n", "first");
            for (int i = 1; i < second.length(); i++) {
                ResponseGateTest test = new ResponseGateTest();
                test.answerFirstCall();
                test.receive(second.substring(0, i));
                assertThat("split at " + i, test.channel.isOpen(), is(false));
                assertThat(test.gate.isReusable(), is(false));
            }
        }

        /** A second response that has been cut, directly before the own one. Its caller may get neither. */
        @Test
        void ofACutResponseAfterTheNextCall() {
            String cut = "HTTP/1.1 200 OK\r\nStamp: 3e1b.07\r\nContent-Length: 6\r\n\r\n";
            String own = "HTTP/1.1 500 Failed\r\nId: b\r\nContent-Length: 6\r\n\r\nfailed";
            for (int i = 1; i < cut.length() - 2; i++) {
                ResponseGateTest test = new ResponseGateTest();
                test.answerFirstCall();
                test.call("b");
                test.receive(cut.substring(0, i));
                test.receive(own);
                assertThat("cut at " + i, test.passedOn(), is(""));
                assertThat(test.gate.isReusable(), is(false));
            }
        }
    }

    /** Guards against a connection that is used again although what comes next on it belongs to no known call. */
    @Nested
    class ClosedConnection {

        private void closedBy(String bytes) {
            receive(bytes);
            assertThat(channel.isOpen(), is(false));
            assertThat(gate.isReusable(), is(false));
            assertThat(surplus, is(not(empty())));
        }

        @Test
        void receivesAResponseWithoutACall() {
            answerFirstCall();
            closedBy(response("Id: a\r\n", "first"));
        }

        @Test
        void receivesBytesThatAreNoResponse() {
            answerFirstCall();
            closedBy("no response\r\n\r\n");
        }

        @Test
        void receivesAnotherCallsResponseThatEndsWithTheConnection() {
            answerFirstCall();
            call("b");
            closedBy("HTTP/1.1 200 OK\r\nId: a\r\n\r\n");
        }
    }

    /** Guards against a response that was cut and looks whole, since the bytes of another one stand for its end. */
    @Nested
    class FilledUpResponse {

        private static final String CUT = "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 30\r\n\r\nbegin";

        @Test
        void hasNoEnd() {
            call("a");
            receive(CUT);
            receive(response("Id: a\r\n", "begin and the whole rest of it"));
            assertThat(channel.isOpen(), is(false));
            assertThat(ended(), is(false));
        }

        @Test
        void hasNoEndIfPartOfAHeadFollows() {
            call("a");
            receive(CUT + "HTTP/1.1 200 OK\r\nId: a\r\nCont\r\n");
            assertThat(channel.isOpen(), is(false));
            assertThat(ended(), is(false));
        }

        /** A status line in a body is nothing unusual by itself. */
        @Test
        void isNotOneThatQuotesAStatusLine() {
            call("a");
            receive(response("Id: a\r\n", "it says HTTP/1.1 200 OK") + response("Id: a\r\n", "second"));
            assertThat(passedOn(), is("it says HTTP/1.1 200 OK"));
        }

        /** Bytes behind a whole response belong to no call, and change nothing about it. */
        @Test
        void isNotOneBeforeOtherBytes() {
            call("a");
            receive(response("Id: a\r\n", "whole") + "no response\r\n\r\n");
            assertThat(passedOn(), is("whole"));
        }

        private boolean ended() {
            boolean ended = false;
            Object message = channel.readInbound();
            while (message != null) {
                ended |= message instanceof LastHttpContent;
                ReferenceCountUtil.release(message);
                message = channel.readInbound();
            }
            return ended;
        }
    }

    /** Guards against interim and other responses that the client would take for final ones. */
    @Nested
    class UnusualStatus {

        @Test
        void ofAnUnknownInterimResponseIsDropped() {
            answerFirstCall();
            call("b");
            receive("HTTP/1.1 102 Processing\r\nNot-Run: full\r\n\r\n" + response("Id: b\r\n", "second"));
            assertThat(passedOn(), is("second"));
        }

        @Test
        void ofAnUpgradeClosesTheConnection() {
            answerFirstCall();
            call("b");
            receive("HTTP/1.1 101 Switching Protocols\r\nId: b\r\nConnection: upgrade\r\nUpgrade: other\r\n\r\n");
            assertThat(channel.isOpen(), is(false));
        }

        /** A server of the usual kind announces in this way that it closes an idle connection. */
        @Test
        void ofATimeoutOnAnIdleConnectionIsNoSurplus() {
            answerFirstCall();
            receive("HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n");
            assertThat(channel.isOpen(), is(false));
            assertThat(surplus, is(empty()));
        }
    }

    /** Guards against a head that cannot be read and leaves its connection in use. */
    @Test
    void failingReaderClosesTheConnection() {
        answerFirstCall();
        gate.expect(
                headers -> {
                    throw new IllegalArgumentException("unreadable");
                },
                false);
        receive(response("Id: a\r\n", "first"));
        assertThat(channel.isOpen(), is(false));
        assertThat(passedOn(), is(""));
    }

    /** Guards against a caller with an empty id that gets the response to another call. */
    @Test
    void emptyIdIsNoProof() {
        answerFirstCall();
        call("");
        receive(response("Id: \r\n", "first"));
        assertThat(passedOn(), is(""));
    }

    /** Guards against a refusal of an earlier call that is believed, or behind which the own response is lost. */
    @Nested
    class UnnamedRefusal {

        @Test
        void isNotPassedOn() {
            answerFirstCall();
            call("b");
            receive(response("Not-Run: full\r\n", "full"));
            assertThat(passedOn(), is(""));
            assertThat(gate.mayStayUnanswered(), is(true));
        }

        @Test
        void isFollowedByTheOwnResponse() {
            answerFirstCall();
            call("b");
            receive(response("Not-Run: full\r\n", "full") + response("Id: b\r\n", "second"));
            assertThat(passedOn(), is("second"));
            assertThat(gate.mayStayUnanswered(), is(false));
        }
    }

    /** Guards against a target without ids whose responses are not passed on, or whose connections are used again. */
    @Nested
    class WithoutIds {

        @Test
        void firstResponseIsPassedOn() {
            call("a");
            receive(response("", "first"));
            assertThat(passedOn(), is("first"));
            assertThat(gate.isReusable(), is(false));
        }

        @Test
        void refusalOfTheFirstCallIsPassedOn() {
            call("a");
            receive(response("Not-Run: full\r\n", "full"));
            assertThat(passedOn(), is("full"));
        }
    }
}
