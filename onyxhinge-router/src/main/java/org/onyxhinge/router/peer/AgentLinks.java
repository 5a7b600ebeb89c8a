package org.onyxhinge.router.peer;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import org.jboss.logging.Logger;
import org.onyxhinge.core.subset.RendezvousHash;
import org.onyxhinge.wire.kv.KvClient;
import org.onyxhinge.wire.kv.KvEntry;
import org.onyxhinge.wire.kv.KvKeys;
import org.onyxhinge.wire.kv.KvMirror;
import org.onyxhinge.wire.peer.PeerMessage;
import org.onyxhinge.wire.peer.PeerTraffic;

/**
 * The agents this router follows. All agents are found in the key-value service under {@code
 * members/agents/POOL/TARGET}; of each pool the router follows at most {@code perPool}, chosen by
 * rendezvous hashing, so that no router hears every engine and no engine reports to every router.
 *
 * <p>The service is only for finding agents: an agent whose key is gone but whose connection is up
 * stays followed, since keys also lapse when the service was away. Runs on the control context.
 */
public final class AgentLinks implements KvMirror.Listener, AutoCloseable {

    private static final Logger LOG = Logger.getLogger(AgentLinks.class);
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final long SWEEP_MS = 1_000;

    private final Vertx vertx;
    private final NetClient net;
    private final PeerListener listener;
    private final String routerId;
    private final int perPool;
    private final PeerTraffic traffic = new PeerTraffic();
    private final Map<String, Map<String, String>> addressesByPool = new TreeMap<>();
    private final Map<String, Map<String, AgentLink>> linksByPool = new HashMap<>();
    private final Set<String> changedPools = new HashSet<>();
    private final long sweepTimer;

    private AgentLinks(Vertx vertx, PeerListener listener, String routerId, int perPool) {
        this.vertx = vertx;
        this.net = vertx.createNetClient(
                new NetClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MS).setTcpNoDelay(true));
        this.listener = listener;
        this.routerId = routerId;
        this.perPool = perPool;
        this.sweepTimer = vertx.setPeriodic(
                SWEEP_MS, t -> List.copyOf(linksByPool.keySet()).forEach(this::choose));
    }

    /** Starts following agents; call on the control context. */
    public static AgentLinks start(Vertx vertx, KvClient kv, PeerListener listener, String routerId, int perPool) {
        AgentLinks links = new AgentLinks(vertx, listener, routerId, perPool);
        KvMirror.start(vertx, kv, KvKeys.AGENTS, links);
        return links;
    }

    /** Frames and bytes exchanged with agents. */
    public PeerTraffic traffic() {
        return traffic;
    }

    /** Sends a message to the agent of an engine; false when it is not connected. */
    public boolean send(String engineId, PeerMessage.ToAgent message) {
        return linksByPool.values().stream()
                .map(links -> links.get(engineId))
                .anyMatch(link -> link != null && link.send(message));
    }

    /** The engines of a pool whose agents are connected. */
    public List<String> connected(String pool) {
        return linksByPool.getOrDefault(pool, Map.of()).entrySet().stream()
                .filter(e -> e.getValue().connected())
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
    }

    /** Agents known from the key-value service. */
    public int known() {
        return addressesByPool.values().stream().mapToInt(Map::size).sum();
    }

    @Override
    public void put(KvEntry entry) {
        AgentKey key = AgentKey.parse(entry.key());
        addressesByPool
                .computeIfAbsent(key.pool(), p -> new TreeMap<>())
                .put(key.engineId(), new String(entry.value(), StandardCharsets.UTF_8));
        changedPools.add(key.pool());
    }

    @Override
    public void deleted(String keyText) {
        AgentKey key = AgentKey.parse(keyText);
        addressesByPool.getOrDefault(key.pool(), Map.of()).remove(key.engineId());
        changedPools.add(key.pool());
    }

    @Override
    public void upTo(long revision) {
        changedPools.forEach(this::choose);
        changedPools.clear();
    }

    @Override
    public void close() {
        vertx.cancelTimer(sweepTimer);
        linksByPool.values().forEach(links -> links.values().forEach(AgentLink::close));
        linksByPool.clear();
    }

    private record AgentKey(String pool, String engineId) {
        private static AgentKey parse(String key) {
            String[] parts = key.substring(KvKeys.AGENTS.length()).split("/", 2);
            return new AgentKey(parts[0], parts.length > 1 ? parts[1] : parts[0]);
        }
    }

    /** Follows the chosen engines of a pool; leaves others, but not one still connected and unregistered. */
    private void choose(String pool) {
        Map<String, String> addresses = addressesByPool.getOrDefault(pool, Map.of());
        Map<String, AgentLink> links = linksByPool.computeIfAbsent(pool, p -> new TreeMap<>());
        Set<String> candidates = new HashSet<>(addresses.keySet());
        links.forEach((engineId, link) -> {
            if (link.connected()) {
                candidates.add(engineId);
            }
        });
        Set<String> chosen = new HashSet<>(RendezvousHash.choose(routerId, candidates, perPool));
        links.entrySet().removeIf(e -> {
            if (!chosen.contains(e.getKey())) {
                e.getValue().close();
                return true;
            }
            return false;
        });
        for (String engineId : chosen) {
            String address = addresses.get(engineId);
            AgentLink link = links.get(engineId);
            if (link != null && address != null) {
                link.address(address);
            } else if (link == null) {
                links.put(engineId, new AgentLink(vertx, net, traffic, listener, routerId, engineId, address));
                LOG.debugf("following engine=%s pool=%s address=%s", engineId, pool, address);
            }
        }
    }
}
