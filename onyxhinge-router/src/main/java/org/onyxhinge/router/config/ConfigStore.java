package org.onyxhinge.router.config;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import org.jboss.logging.Logger;
import org.onyxhinge.core.model.ClusterConfig;
import org.onyxhinge.core.model.Pool;
import org.onyxhinge.core.model.Service;
import org.onyxhinge.core.model.Tier;
import org.onyxhinge.core.model.Workspace;
import org.onyxhinge.wire.frame.WireException;
import org.onyxhinge.wire.kv.KvClient;
import org.onyxhinge.wire.kv.KvEntry;
import org.onyxhinge.wire.kv.KvException;
import org.onyxhinge.wire.kv.KvMessage;
import org.onyxhinge.wire.kv.KvMirror;
import org.onyxhinge.wire.kv.KvStatus;

/**
 * The router's copy of the configuration: loaded in full from the key-value service at start, then
 * updated by a watch on {@code config/}. The configuration in force is replaced only by one of a higher
 * revision, so it never reverts; during an outage the last one stays in force. Writes use
 * compare-and-swap and carry an operation id, so that the retry of a write whose reply was lost is
 * detected and not applied twice. Runs on the router's control context.
 */
public final class ConfigStore {

    private static final Logger LOG = Logger.getLogger(ConfigStore.class);

    private final KvClient kv;
    private final Map<String, Versioned> objectsByKey = new TreeMap<>();
    private final Consumer<ClusterConfig> onChange;
    private volatile ClusterConfig current = ClusterConfig.empty();

    private record Versioned(Record value, long version) {}

    private ConfigStore(KvClient kv, Consumer<ClusterConfig> onChange) {
        this.kv = kv;
        this.onChange = onChange;
    }

    /** Creates the store; {@link #start} loads and watches the configuration. */
    public static ConfigStore create(KvClient kv, Consumer<ClusterConfig> onChange) {
        return new ConfigStore(kv, onChange);
    }

    /**
     * Loads the configuration and starts watching it. The future completes when the configuration is
     * loaded, which waits for the key-value service if it is unavailable.
     */
    public Future<ClusterConfig> start(Vertx vertx) {
        return KvMirror.start(vertx, kv, ConfigKind.ROOT_PREFIX, new MirrorListener())
                .map(revision -> current);
    }

    private final class MirrorListener implements KvMirror.Listener {

        @Override
        public void put(KvEntry entry) {
            storeEntry(entry);
        }

        @Override
        public void deleted(String key) {
            objectsByKey.remove(key);
        }

        @Override
        public void revisionReached(long revision) {
            publish(revision);
        }
    }

    /** Returns the configuration in force. Thread-safe. */
    public ClusterConfig current() {
        return current;
    }

    /** Returns the version of each object in force, by key. */
    public Map<String, Long> versions() {
        Map<String, Long> out = new TreeMap<>();
        objectsByKey.forEach((k, v) -> out.put(k, v.version()));
        return out;
    }

    /**
     * Writes one object if its current version is {@code expectedVersion}, which is 0 for an object that
     * does not exist. Fails with {@link ConfigException}.
     */
    public Future<PutOutcome> put(
            ConfigKind kind, String name, Record value, long expectedVersion, String operationId) {
        String key = kind.key(name);
        byte[] bytes = ConfigCodec.encode(value, operationId);
        return kv.put(key, bytes, expectedVersion, 0)
                .map(r -> new PutOutcome(r.entries().get(0).version(), r.revision(), true))
                .recover(e -> resolveFailedPut(kind, key, expectedVersion, operationId, e));
    }

    private Future<PutOutcome> resolveFailedPut(
            ConfigKind kind, String key, long expected, String operationId, Throwable e) {
        if (!(e instanceof KvException kvError)) {
            return Future.failedFuture(e);
        }
        if (kvError.status() == KvStatus.CONFLICT) {
            KvEntry stored = kvError.current().orElse(null);
            if (stored != null
                    && ConfigCodec.decode(kind, stored.value()).operationId().equals(operationId)) {
                return Future.succeededFuture(new PutOutcome(stored.version(), stored.modRevision(), false));
            }
            return Future.failedFuture(ConfigException.conflict(key, expected, stored == null ? 0 : stored.version()));
        }
        return kv.get(key)
                .compose(
                        reply -> readBack(kind, key, expected, operationId, reply),
                        readError -> Future.failedFuture(ConfigException.unavailable(key, kvError)));
    }

    private Future<PutOutcome> readBack(
            ConfigKind kind, String key, long expected, String operationId, KvMessage.Reply reply) {
        KvEntry stored = reply.entries().isEmpty() ? null : reply.entries().get(0);
        if (stored != null
                && ConfigCodec.decode(kind, stored.value()).operationId().equals(operationId)) {
            return Future.succeededFuture(new PutOutcome(stored.version(), stored.modRevision(), true));
        }
        long version = stored == null ? 0 : stored.version();
        return Future.failedFuture(ConfigException.conflict(key, expected, version));
    }

    private void storeEntry(KvEntry entry) {
        try {
            ConfigKind kind = ConfigKind.ofKey(entry.key());
            objectsByKey.put(
                    entry.key(),
                    new Versioned(ConfigCodec.decode(kind, entry.value()).value(), entry.version()));
        } catch (WireException | IllegalArgumentException e) {
            LOG.warnf("malformed config entry skipped key=%s error=%s", entry.key(), e.getMessage());
        }
    }

    private void publish(long revision) {
        if (revision <= current.revision() && current.revision() != 0) {
            return;
        }
        Map<String, Tier> tiers = new TreeMap<>();
        Map<String, Workspace> workspaces = new TreeMap<>();
        Map<String, Service> services = new TreeMap<>();
        Map<String, Pool> pools = new TreeMap<>();
        for (Versioned v : objectsByKey.values()) {
            switch (v.value()) {
                case Tier t -> tiers.put(t.name(), t);
                case Workspace w -> workspaces.put(w.name(), w);
                case Service s -> services.put(s.name(), s);
                case Pool p -> pools.put(p.name(), p);
                default -> LOG.warnf("config object of unsupported type ignored object=%s", v.value());
            }
        }
        current = new ClusterConfig(revision, tiers, workspaces, services, pools);
        LOG.infof(
                "config in force revision=%d tiers=%d workspaces=%d services=%d pools=%d",
                revision, tiers.size(), workspaces.size(), services.size(), pools.size());
        onChange.accept(current);
    }
}
