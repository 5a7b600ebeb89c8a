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
 * The router's copy of the accepted configuration: read whole from the key-value service at start,
 * then kept current by a watch on {@code config/}. A view is only replaced by one of a higher
 * revision, so an accepted configuration never reverts; through an outage the last view stays in
 * force. Writes are compare-and-swap with an operation id, so a retried write whose reply was lost is
 * recognised instead of applied twice. Runs on the router's control context.
 */
public final class ConfigStore {

    private static final Logger LOG = Logger.getLogger(ConfigStore.class);

    private final KvClient kv;
    private final Map<String, Versioned> objects = new TreeMap<>();
    private final Consumer<ClusterConfig> onChange;
    private volatile ClusterConfig current = ClusterConfig.empty();

    private record Versioned(Record value, long version) {}

    private ConfigStore(KvClient kv, Consumer<ClusterConfig> onChange) {
        this.kv = kv;
        this.onChange = onChange;
    }

    /** Creates the store; call {@link #start} to load and watch. */
    public static ConfigStore create(KvClient kv, Consumer<ClusterConfig> onChange) {
        return new ConfigStore(kv, onChange);
    }

    /** Loads the configuration and follows it; completes once loaded, however long the service is away. */
    public Future<ClusterConfig> start(Vertx vertx) {
        return KvMirror.start(vertx, kv, ConfigKind.ROOT, new Follower()).map(revision -> current);
    }

    private final class Follower implements KvMirror.Listener {

        @Override
        public void put(KvEntry entry) {
            apply(entry);
        }

        @Override
        public void deleted(String key) {
            objects.remove(key);
        }

        @Override
        public void upTo(long revision) {
            publish(revision);
        }
    }

    /** The configuration in force. Safe from any thread. */
    public ClusterConfig current() {
        return current;
    }

    /** The version of every object in force, by key. */
    public Map<String, Long> versions() {
        Map<String, Long> out = new TreeMap<>();
        objects.forEach((k, v) -> out.put(k, v.version()));
        return out;
    }

    /**
     * Writes one object if its version is {@code expectedVersion} (0 to create). Fails with {@link
     * ConfigException}.
     */
    public Future<PutOutcome> put(
            ConfigKind kind, String name, Record value, long expectedVersion, String operationId) {
        String key = kind.key(name);
        byte[] bytes = ConfigCodec.encode(value, operationId);
        return kv.put(key, bytes, expectedVersion, 0)
                .map(r -> new PutOutcome(r.entries().get(0).version(), r.revision(), true))
                .recover(e -> settle(kind, key, expectedVersion, operationId, e));
    }

    private Future<PutOutcome> settle(ConfigKind kind, String key, long expected, String operationId, Throwable e) {
        if (!(e instanceof KvException kvError)) {
            return Future.failedFuture(e);
        }
        if (kvError.status() == KvStatus.CONFLICT) {
            KvEntry now = kvError.current().orElse(null);
            if (now != null
                    && ConfigCodec.decode(kind, now.value()).operationId().equals(operationId)) {
                return Future.succeededFuture(new PutOutcome(now.version(), now.modRevision(), false));
            }
            return Future.failedFuture(ConfigException.conflict(key, expected, now == null ? 0 : now.version()));
        }
        return kv.get(key)
                .compose(
                        reply -> readBack(kind, key, expected, operationId, reply),
                        again -> Future.failedFuture(ConfigException.unavailable(key, kvError)));
    }

    private Future<PutOutcome> readBack(
            ConfigKind kind, String key, long expected, String operationId, KvMessage.Reply reply) {
        KvEntry now = reply.entries().isEmpty() ? null : reply.entries().get(0);
        if (now != null && ConfigCodec.decode(kind, now.value()).operationId().equals(operationId)) {
            return Future.succeededFuture(new PutOutcome(now.version(), now.modRevision(), true));
        }
        long version = now == null ? 0 : now.version();
        return Future.failedFuture(ConfigException.conflict(key, expected, version));
    }

    private void apply(KvEntry entry) {
        try {
            ConfigKind kind = ConfigKind.ofKey(entry.key());
            objects.put(
                    entry.key(),
                    new Versioned(ConfigCodec.decode(kind, entry.value()).value(), entry.version()));
        } catch (WireException | IllegalArgumentException e) {
            LOG.warnf("config skipped key=%s error=%s", entry.key(), e.getMessage());
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
        for (Versioned v : objects.values()) {
            switch (v.value()) {
                case Tier t -> tiers.put(t.name(), t);
                case Workspace w -> workspaces.put(w.name(), w);
                case Service s -> services.put(s.name(), s);
                case Pool p -> pools.put(p.name(), p);
                default -> LOG.warnf("config ignored object=%s", v.value());
            }
        }
        current = new ClusterConfig(revision, tiers, workspaces, services, pools);
        LOG.infof(
                "config in force revision=%d tiers=%d workspaces=%d services=%d pools=%d",
                revision, tiers.size(), workspaces.size(), services.size(), pools.size());
        onChange.accept(current);
    }
}
