package org.onyxhinge.router.peer;

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
import org.onyxhinge.core.text.LogText;
import org.onyxhinge.runtime.HostPort;
import org.onyxhinge.wire.kv.KvClient;
import org.onyxhinge.wire.kv.KvEntry;
import org.onyxhinge.wire.kv.KvKeys;
import org.onyxhinge.wire.kv.KvMirror;
import org.onyxhinge.wire.peer.PeerMessage;
import org.onyxhinge.wire.peer.PeerTraffic;

/**
 * Maintains this router's connections to agents. Agents register in the key-value service under {@code
 * members/agents/POOL/TARGET}. In each pool the router connects to at most {@code maxPerPool} agents,
 * selected by rendezvous hashing, so that no router receives the reports of every engine and no engine
 * reports to every router.
 *
 * <p>The service is used for discovery only: the router keeps a live connection to an agent whose key is
 * gone, because keys also expire during an outage of the service. Runs on the control context.
 */
public final class AgentConnections implements KvMirror.Listener, AutoCloseable {

    private static final Logger LOG = Logger.getLogger(AgentConnections.class);
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final long RESELECT_INTERVAL_MS = 1_000;

    /** HOST:PORT; a host name has 253 characters at most. */
    private static final int MAX_ADDRESS_BYTES = 512;

    private final Vertx vertx;
    private final NetClient net;
    private final AgentMessageListener listener;
    private final String routerId;
    private final int maxPerPool;
    private final PeerTraffic traffic = new PeerTraffic();
    private final Map<String, Map<String, HostPort>> addressesByPool = new TreeMap<>();
    private final Map<String, Map<String, AgentConnection>> connectionsByPool = new HashMap<>();
    private final Set<String> changedPools = new HashSet<>();
    private final long reselectTimer;

    private AgentConnections(Vertx vertx, AgentMessageListener listener, String routerId, int maxPerPool) {
        this.vertx = vertx;
        this.net = vertx.createNetClient(
                new NetClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MS).setTcpNoDelay(true));
        this.listener = listener;
        this.routerId = routerId;
        this.maxPerPool = maxPerPool;
        this.reselectTimer = vertx.setPeriodic(
                RESELECT_INTERVAL_MS,
                t -> List.copyOf(connectionsByPool.keySet()).forEach(this::selectAgents));
    }

    /** Starts discovering agents and connecting to them. Must be called on the control context. */
    public static AgentConnections start(
            Vertx vertx, KvClient kv, AgentMessageListener listener, String routerId, int maxPerPool) {
        AgentConnections connections = new AgentConnections(vertx, listener, routerId, maxPerPool);
        KvMirror.start(vertx, kv, KvKeys.AGENTS, connections);
        return connections;
    }

    /** Returns the counters of frames and bytes exchanged with agents. */
    public PeerTraffic traffic() {
        return traffic;
    }

    /** Sends a message to the agent of an engine; returns false if that agent is not connected. */
    public boolean send(String engineId, PeerMessage.ToAgent message) {
        return connectionsByPool.values().stream()
                .map(connections -> connections.get(engineId))
                .anyMatch(connection -> connection != null && connection.send(message));
    }

    /** Returns the engines of a pool whose agents are connected. */
    public List<String> connected(String pool) {
        return connectionsByPool.getOrDefault(pool, Map.of()).entrySet().stream()
                .filter(e -> e.getValue().connected())
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
    }

    /** Returns the number of agents registered in the key-value service. */
    public int knownAgents() {
        return addressesByPool.values().stream().mapToInt(Map::size).sum();
    }

    @Override
    public void put(KvEntry entry) {
        AgentKey key = AgentKey.parse(entry.key());
        changedPools.add(key.pool());
        Map<String, HostPort> addresses = addressesByPool.computeIfAbsent(key.pool(), p -> new TreeMap<>());
        try {
            addresses.put(key.engineId(), HostPort.parse("address", entry.text()));
        } catch (IllegalArgumentException e) {
            LOG.errorf("agent rejected key=%s error=%s", LogText.of(entry.key()), LogText.of(e.getMessage()));
            addresses.remove(key.engineId());
        }
    }

    @Override
    public boolean mayUse(KvEntry entry) {
        return entry.value().length <= MAX_ADDRESS_BYTES;
    }

    /** The addresses are kept here; other writers' values may be many and large. */
    @Override
    public boolean uses(KvEntry entry) {
        return false;
    }

    @Override
    public void deleted(String keyText) {
        AgentKey key = AgentKey.parse(keyText);
        addressesByPool.getOrDefault(key.pool(), Map.of()).remove(key.engineId());
        changedPools.add(key.pool());
    }

    @Override
    public void revisionReached(long revision) {
        changedPools.forEach(this::selectAgents);
        changedPools.clear();
    }

    @Override
    public void close() {
        vertx.cancelTimer(reselectTimer);
        connectionsByPool.values().forEach(connections -> connections.values().forEach(AgentConnection::close));
        connectionsByPool.clear();
    }

    private record AgentKey(String pool, String engineId) {
        private static AgentKey parse(String key) {
            String[] parts = key.substring(KvKeys.AGENTS.length()).split("/", 2);
            return new AgentKey(parts[0], parts.length > 1 ? parts[1] : parts[0]);
        }
    }

    /**
     * Connects to the selected engines of a pool and closes the other connections. Engines that are
     * connected but no longer registered remain candidates.
     */
    private void selectAgents(String pool) {
        Map<String, HostPort> addresses = addressesByPool.getOrDefault(pool, Map.of());
        Map<String, AgentConnection> connections = connectionsByPool.computeIfAbsent(pool, p -> new TreeMap<>());
        Set<String> candidates = new HashSet<>(addresses.keySet());
        connections.forEach((engineId, connection) -> {
            if (connection.connected()) {
                candidates.add(engineId);
            }
        });
        Set<String> selected = new HashSet<>(RendezvousHash.choose(routerId, candidates, maxPerPool));
        connections.entrySet().removeIf(e -> {
            if (!selected.contains(e.getKey())) {
                e.getValue().close();
                return true;
            }
            return false;
        });
        for (String engineId : selected) {
            HostPort address = addresses.get(engineId);
            AgentConnection connection = connections.get(engineId);
            if (connection != null && address != null) {
                connection.updateAddress(address);
            } else if (connection == null) {
                connections.put(
                        engineId, new AgentConnection(vertx, net, traffic, listener, routerId, engineId, address));
                LOG.debugf("agent selected engine=%s pool=%s address=%s", engineId, pool, address);
            }
        }
    }
}
