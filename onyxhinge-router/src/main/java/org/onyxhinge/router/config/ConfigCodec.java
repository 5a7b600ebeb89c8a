package org.onyxhinge.router.config;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;

import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.Value;
import org.onyxhinge.core.model.Pool;
import org.onyxhinge.core.model.Service;
import org.onyxhinge.core.model.ServiceKind;
import org.onyxhinge.core.model.Tier;
import org.onyxhinge.core.model.Workspace;
import org.onyxhinge.wire.frame.WireException;

/**
 * Encodes configured objects as MessagePack maps (field name to value, plus {@code op}, the operation
 * id of the write). Unknown fields are ignored so older routers read newer values.
 */
public final class ConfigCodec {

    private static final String OP = "op";

    private ConfigCodec() {}

    /**
     * A configured object read back from the store.
     *
     * @param value the record: a Tier, Workspace, Service or Pool
     * @param operationId the operation that wrote it
     */
    public record Stored(Record value, String operationId) {}

    /** Encodes one object with the operation id that writes it. */
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
            p.packString(OP).packString(operationId);
            return p.toByteArray();
        } catch (IOException e) {
            throw new WireException("cannot encode configuration", e);
        }
    }

    /** Decodes the value stored under a key of the given kind; throws {@link WireException} when malformed. */
    public static Stored decode(ConfigKind kind, byte[] bytes) {
        Map<String, Value> f = new HashMap<>();
        try (MessageUnpacker u = MessagePack.newDefaultUnpacker(bytes)) {
            int n = u.unpackMapHeader();
            for (int i = 0; i < n; i++) {
                f.put(u.unpackString(), u.unpackValue());
            }
            Record value = switch (kind) {
                case TIER ->
                    new Tier(
                            str(f, "name"),
                            (int) num(f, "rank"),
                            num(f, "firstTokenBudgetMs"),
                            num(f, "betweenTokenBudgetMs"),
                            num(f, "deadlineMs"));
                case WORKSPACE -> new Workspace(str(f, "name"), (int) num(f, "maxInFlight"));
                case SERVICE ->
                    new Service(
                            str(f, "name"),
                            ServiceKind.valueOf(str(f, "kind")),
                            str(f, "pool"),
                            f.get("nonIdempotent").asBooleanValue().getBoolean());
                case POOL -> new Pool(str(f, "name"), str(f, "model"));
            };
            return new Stored(value, f.containsKey(OP) ? str(f, OP) : "");
        } catch (IOException | MessagePackException | IllegalArgumentException | NullPointerException e) {
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

    private static String str(Map<String, Value> f, String key) {
        return f.get(key).asStringValue().asString();
    }

    private static long num(Map<String, Value> f, String key) {
        return f.get(key).asIntegerValue().asLong();
    }
}
