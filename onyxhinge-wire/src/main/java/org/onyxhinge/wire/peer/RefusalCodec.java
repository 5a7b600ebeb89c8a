package org.onyxhinge.wire.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.onyxhinge.wire.frame.WireException;

/** Encodes and decodes the message about refused requests. */
final class RefusalCodec {

    static final int FIELDS = 1;

    /** Far above the refusals of one router between two messages; a longer list is invalid. */
    private static final int MAX_REQUESTS = 65_536;

    private RefusalCodec() {}

    static void write(MessagePacker p, PeerMessage.RefusedRequests message) throws IOException {
        p.packArrayHeader(message.requests().size());
        for (PeerMessage.RefusedRequest r : message.requests()) {
            p.packInt(r.key());
            p.packLong(r.firstArrivalAgoMs()).packLong(r.deadlineInMs()).packLong(r.retryInMs());
        }
    }

    static PeerMessage.RefusedRequests read(MessageUnpacker u) throws IOException {
        int n = u.unpackArrayHeader();
        if (n > MAX_REQUESTS) {
            throw new WireException("too many refused requests: " + n);
        }
        List<PeerMessage.RefusedRequest> requests = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            requests.add(new PeerMessage.RefusedRequest(u.unpackInt(), u.unpackLong(), u.unpackLong(), u.unpackLong()));
        }
        return new PeerMessage.RefusedRequests(requests);
    }
}
