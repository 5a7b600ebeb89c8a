package org.onyxhinge.router.config;

import java.io.IOException;

import org.junit.jupiter.api.Test;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.onyxhinge.core.model.Pool;
import org.onyxhinge.wire.frame.WireException;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

class ConfigCodecTest {

    private static final int DEPTH = 100_000;

    private static MessageBufferPacker poolWithAnotherField() throws IOException {
        MessageBufferPacker out = MessagePack.newDefaultBufferPacker();
        out.packMapHeader(4)
                .packString("name")
                .packString("p")
                .packString("model")
                .packString("m");
        out.packString("op").packString("o1").packString("other");
        return out;
    }

    private static byte[] nested(MessageBufferPacker out) throws IOException {
        for (int i = 0; i < DEPTH; i++) {
            out.packArrayHeader(1);
        }
        out.packNil();
        return out.toByteArray();
    }

    /** Guards against a field of a newer version, or of another writer, that overflows the stack. */
    @Test
    void unknownFieldsAreSkippedHoweverDeepTheyAre() throws IOException {
        ConfigCodec.Stored stored = ConfigCodec.decode(ConfigKind.POOL, nested(poolWithAnotherField()));
        assertThat(stored.value(), is(new Pool("p", "m")));
        assertThat(stored.operationId(), is("o1"));
    }

    /** Guards against memory taken for what a few bytes only announce, which ends the process. */
    @Test
    void announcedSizesTakeNoMemory() throws IOException {
        MessageBufferPacker list = poolWithAnotherField();
        list.packArrayHeader(Integer.MAX_VALUE);
        assertThrows(WireException.class, () -> ConfigCodec.decode(ConfigKind.POOL, list.toByteArray()));
        MessageBufferPacker bytes = poolWithAnotherField();
        bytes.packBinaryHeader(Integer.MAX_VALUE);
        assertThrows(WireException.class, () -> ConfigCodec.decode(ConfigKind.POOL, bytes.toByteArray()));
    }

    @Test
    void fieldsOfOtherTypesAreRejected() throws IOException {
        MessageBufferPacker out = MessagePack.newDefaultBufferPacker();
        out.packMapHeader(2).packString("name").packLong(7).packString("model").packString("m");
        assertThrows(WireException.class, () -> ConfigCodec.decode(ConfigKind.POOL, out.toByteArray()));
    }
}
