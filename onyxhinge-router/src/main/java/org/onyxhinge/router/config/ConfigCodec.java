package org.onyxhinge.router.config;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;

import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.onyxhinge.core.model.Pool;
import org.onyxhinge.core.model.Service;
import org.onyxhinge.core.model.ServiceKind;
import org.onyxhinge.core.model.Tier;
import org.onyxhinge.core.model.Workspace;
import org.onyxhinge.wire.frame.WireException;

/**
 * Encodes configuration objects as MessagePack maps from field name to value, with the operation id of
 * the write in the field {@code op}. Unknown fields are ignored, so that older routers can read values
 * written by newer ones.
 */
public final class ConfigCodec {

    private static final String OPERATION_ID_FIELD = "op";

    private ConfigCodec() {}

    /**
     * A configuration object as read from the store.
     *
     * @param value a Tier, Workspace, Service or Pool
     * @param operationId id of the operation that wrote the object
     */
    public record Stored(Record value, String operationId) {}

    /** Encodes an object together with the id of the operation that writes it. */
    public static byte[] encode(Record value, String operationId) {
        Map<String, Object> fields = switch (value) {
            case Tier t ->
                Map.of(
                        "name",
                        t.name(),
                        "rank",
                        t.rank(),
                        "firstTokenBudgetMs",
                        t.firstTokenBudgetMs(),
                        "betweenTokenBudgetMs",
                        t.betweenTokenBudgetMs(),
                        "deadlineMs",
                        t.deadlineMs());
            case Workspace w -> Map.of("name", w.name(), "maxInFlight", w.maxInFlight());
            case Service s ->
                Map.of("name", s.name(), "kind", s.kind().name(), "pool", s.pool(), "nonIdempotent", s.nonIdempotent());
            case Pool p -> Map.of("name", p.name(), "model", p.model());
            default -> throw new IllegalArgumentException("not a configuration object: " + value);
        };
        try (MessageBufferPacker p = MessagePack.newDefaultBufferPacker()) {
            p.packMapHeader(fields.size() + 1);
            for (Map.Entry<String, Object> e : new java.util.TreeMap<>(fields).entrySet()) {
                p.packString(e.getKey());
                packValue(p, e.getValue());
            }
            p.packString(OPERATION_ID_FIELD).packString(operationId);
            return p.toByteArray();
        } catch (IOException e) {
            throw new WireException("cannot encode configuration", e);
        }
    }

    /** Decodes the stored value of an object of the given kind; throws {@link WireException} if it is malformed. */
    public static Stored decode(ConfigKind kind, byte[] bytes) {
        try (MessageUnpacker u = MessagePack.newDefaultUnpacker(bytes)) {
            Map<String, Object> f = readFields(u);
            Record value = switch (kind) {
                case TIER ->
                    new Tier(
                            stringField(f, "name"),
                            (int) longField(f, "rank"),
                            longField(f, "firstTokenBudgetMs"),
                            longField(f, "betweenTokenBudgetMs"),
                            longField(f, "deadlineMs"));
                case WORKSPACE -> new Workspace(stringField(f, "name"), (int) longField(f, "maxInFlight"));
                case SERVICE ->
                    new Service(
                            stringField(f, "name"),
                            ServiceKind.valueOf(stringField(f, "kind")),
                            stringField(f, "pool"),
                            booleanField(f, "nonIdempotent"));
                case POOL -> new Pool(stringField(f, "name"), stringField(f, "model"));
            };
            return new Stored(value, f.containsKey(OPERATION_ID_FIELD) ? stringField(f, OPERATION_ID_FIELD) : "");
        } catch (IOException | MessagePackException | IllegalArgumentException e) {
            throw new WireException("malformed " + kind + " configuration: " + e.getMessage(), e);
        }
    }

    private static void packValue(MessageBufferPacker p, Object v) throws IOException {
        switch (v) {
            case String s -> p.packString(s);
            case Integer i -> p.packLong(i);
            case Long l -> p.packLong(l);
            case Boolean b -> p.packBoolean(b);
            default -> throw new IllegalArgumentException("unsupported field type " + v.getClass());
        }
    }

    /** Reads the fields of the types that objects have; others are skipped, whatever they hold. */
    private static Map<String, Object> readFields(MessageUnpacker u) throws IOException {
        Map<String, Object> fields = new HashMap<>();
        int n = u.unpackMapHeader();
        for (int i = 0; i < n; i++) {
            String name = u.unpackString();
            switch (u.getNextFormat().getValueType()) {
                case STRING -> fields.put(name, u.unpackString());
                case INTEGER -> fields.put(name, u.unpackLong());
                case BOOLEAN -> fields.put(name, u.unpackBoolean());
                default -> u.skipValue();
            }
        }
        return fields;
    }

    private static String stringField(Map<String, Object> f, String key) {
        return field(f, key, String.class);
    }

    private static long longField(Map<String, Object> f, String key) {
        return field(f, key, Long.class);
    }

    private static boolean booleanField(Map<String, Object> f, String key) {
        return field(f, key, Boolean.class);
    }

    private static <T> T field(Map<String, Object> f, String key, Class<T> type) {
        if (!type.isInstance(f.get(key))) {
            throw new IllegalArgumentException(key + " is missing or no " + type.getSimpleName());
        }
        return type.cast(f.get(key));
    }
}
