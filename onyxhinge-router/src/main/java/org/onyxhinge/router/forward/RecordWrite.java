package org.onyxhinge.router.forward;

import java.util.function.LongConsumer;

/**
 * An entry to be written to the key-value service.
 *
 * @param key the key
 * @param bytes the value
 * @param replaces version of the entry that it replaces: 0 if there is none, {@link
 *     org.onyxhinge.wire.kv.KvMessage#ANY} to replace any
 * @param onWritten receives the version of the written entry
 */
public record RecordWrite(String key, byte[] bytes, long replaces, LongConsumer onWritten) {}
