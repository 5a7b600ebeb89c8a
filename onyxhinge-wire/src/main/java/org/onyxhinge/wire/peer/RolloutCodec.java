package org.onyxhinge.wire.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.onyxhinge.core.rollout.AnswerCell;
import org.onyxhinge.core.rollout.AnswerCount;
import org.onyxhinge.core.rollout.RolloutPhase;
import org.onyxhinge.wire.frame.WireException;

/** The fields of the messages about rollouts, see {@link PeerCodec}. */
final class RolloutCodec {

    static final int UPDATE_FIELDS = 4;
    static final int REPORT_FIELDS = 8;

    /** A report has an entry for each route and target that a router uses. */
    private static final int MAX_ANSWERS = 65_536;

    private RolloutCodec() {}

    static void write(MessagePacker p, PeerMessage.RolloutUpdate u) throws IOException {
        p.packString(u.service()).packLong(u.orderId());
        p.packInt(u.phase().ordinal()).packLong(u.ageMs());
    }

    static PeerMessage.RolloutUpdate readUpdate(MessageUnpacker u) throws IOException {
        return new PeerMessage.RolloutUpdate(u.unpackString(), u.unpackLong(), readPhase(u), u.unpackLong());
    }

    static void write(MessagePacker p, PeerMessage.RolloutReport r) throws IOException {
        p.packString(r.routerId()).packLong(r.startId());
        p.packString(r.service()).packLong(r.orderId());
        p.packInt(r.phase().ordinal()).packLong(r.ageMs()).packInt(r.replacedCalls());
        p.packArrayHeader(r.answers().size());
        for (PeerMessage.AnswerReport a : r.answers()) {
            p.packString(a.cell().route()).packString(a.cell().target());
            p.packBoolean(a.cell().trial());
            p.packLong(a.count().answers()).packLong(a.count().bad());
        }
    }

    static PeerMessage.RolloutReport readReport(MessageUnpacker u) throws IOException {
        return new PeerMessage.RolloutReport(
                u.unpackString(),
                u.unpackLong(),
                u.unpackString(),
                u.unpackLong(),
                readPhase(u),
                u.unpackLong(),
                u.unpackInt(),
                readAnswers(u));
    }

    private static List<PeerMessage.AnswerReport> readAnswers(MessageUnpacker u) throws IOException {
        int n = u.unpackArrayHeader();
        if (n > MAX_ANSWERS) {
            throw new WireException("too many answer counts: " + n);
        }
        List<PeerMessage.AnswerReport> out = new ArrayList<>(n);
        for (int i = 0; i < n; i++) {
            AnswerCell cell = new AnswerCell(u.unpackString(), u.unpackString(), u.unpackBoolean());
            out.add(new PeerMessage.AnswerReport(cell, new AnswerCount(u.unpackLong(), u.unpackLong())));
        }
        return out;
    }

    private static RolloutPhase readPhase(MessageUnpacker u) throws IOException {
        return PeerCodec.enumValue(RolloutPhase.values(), u.unpackInt());
    }
}
