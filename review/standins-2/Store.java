import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's metadata store, as PROTOCOL.md describes it, without faults unless one is set. */
final class Store {
    private final ServerSocket server;
    private final TreeMap<String, Map<String, Object>> items = new TreeMap<>();
    private final List<Map<String, Object>> history = new ArrayList<>();
    private final Map<Long, Long> leaseTtlMs = new HashMap<>();
    private final Map<Long, Long> leaseEndsMs = new HashMap<>();
    private long revision = 100;
    private long nextLease = 70_000;
    /** While true, calls get no answer. */
    volatile boolean silent;

    Store() throws IOException {
        server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        Thread.startVirtualThread(this::accept);
        Thread.startVirtualThread(this::expire);
    }

    int port() {
        return server.getLocalPort();
    }

    private void accept() {
        while (true) {
            try {
                Socket s = server.accept();
                Thread.startVirtualThread(() -> serve(s));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void expire() {
        while (!server.isClosed()) {
            World.sleep(20);
            synchronized (this) {
                long now = World.nowMs();
                List.copyOf(leaseEndsMs.keySet()).stream().filter(l -> leaseEndsMs.get(l) <= now).forEach(this::endLease);
            }
        }
    }

    private void endLease(long lease) {
        leaseEndsMs.remove(lease);
        leaseTtlMs.remove(lease);
        List.copyOf(items.values()).stream()
                .filter(i -> i.get("lease").equals(lease))
                .forEach(i -> remove((String) i.get("key")));
    }

    private void serve(Socket s) {
        try (s) {
            s.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(s.getInputStream());
            OutputStream out = s.getOutputStream();
            for (Http.Head head = Http.head(in); head != null; head = Http.head(in)) {
                byte[] body = Http.body(head, in);
                while (silent) {
                    World.sleep(50);
                }
                World.sleep(4);
                reply(head, new String(body, StandardCharsets.UTF_8), out);
            }
        } catch (IOException e) {
            // The caller has left.
        }
    }

    private void reply(Http.Head head, String body, OutputStream out) throws IOException {
        String[] target = head.target().split("\\?", 2);
        Map<String, String> query = new HashMap<>();
        if (target.length > 1) {
            for (String pair : target[1].split("&")) {
                String[] kv = pair.split("=", 2);
                query.put(kv[0], URLDecoder.decode(kv[1], StandardCharsets.UTF_8));
            }
        }
        String path = target[0];
        if (path.equals("/api/kv-key")) {
            Map<String, Object> item;
            synchronized (this) {
                item = items.containsKey(query.get("key")) ? new TreeMap<>(items.get(query.get("key"))) : null;
                if (item != null) {
                    item.put("storeRevision", revision);
                }
            }
            send(out, item == null ? 404 : 200, item == null ? Json.of() : item);
        } else if (path.equals("/api/kv-range")) {
            send(out, 200, range(query.get("pathPrefix"), query.get("afterRev")));
        } else if (path.equals("/api/kv-watch")) {
            send(out, 200, watch(query));
        } else if (path.equals("/api/kv-txn")) {
            transact(Json.object(body), out);
        } else if (path.equals("/api/kv-lease")) {
            long ttl = ((Number) Json.object(body).get("ttlMs")).longValue();
            long lease;
            synchronized (this) {
                lease = nextLease++;
                leaseTtlMs.put(lease, ttl);
                leaseEndsMs.put(lease, World.nowMs() + ttl);
            }
            send(out, 200, Json.of("lease", lease, "ttlMs", ttl));
        } else if (path.startsWith("/api/kv-keep/")) {
            long lease = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
            Long ttl;
            synchronized (this) {
                ttl = leaseTtlMs.get(lease);
                if (ttl != null) {
                    leaseEndsMs.put(lease, World.nowMs() + ttl);
                }
            }
            send(out, ttl == null ? 404 : 200, ttl == null ? Json.of() : Json.of("ttlMs", ttl));
        } else if (path.startsWith("/api/kv-lease-end/")) {
            synchronized (this) {
                endLease(Long.parseLong(path.substring(path.lastIndexOf('/') + 1)));
            }
            send(out, 200, Json.of());
        } else {
            send(out, 404, Json.of());
        }
    }

    private synchronized Map<String, Object> range(String prefix, String after) {
        List<Object> page = new ArrayList<>();
        boolean truncated = false;
        for (Map.Entry<String, Map<String, Object>> e :
                items.tailMap(after == null ? prefix : after, after == null).entrySet()) {
            if (!e.getKey().startsWith(prefix)) {
                break;
            }
            if (page.size() == 500) {
                truncated = true;
                break;
            }
            page.add(e.getValue());
        }
        return Json.of("items", page, "truncated", truncated, "storeRevision", revision);
    }

    private Map<String, Object> watch(Map<String, String> query) {
        long after = Long.parseLong(query.get("afterRev"));
        long untilMs = World.nowMs() + Long.parseLong(query.get("waitMs"));
        while (true) {
            synchronized (this) {
                List<Object> events = new ArrayList<>();
                for (Map<String, Object> e : history) {
                    if ((long) e.get("revision") > after && ((String) e.get("key")).startsWith(query.get("pathPrefix"))) {
                        events.add(e);
                    }
                }
                if (!silent && (!events.isEmpty() || World.nowMs() >= untilMs)) {
                    return Json.of("events", events, "storeRevision", revision);
                }
            }
            World.sleep(5);
        }
    }

    private void transact(Map<String, Object> body, OutputStream out) throws IOException {
        int status = 200;
        Map<String, Object> reply;
        synchronized (this) {
            List<Object> current = new ArrayList<>();
            for (Object o : list(body, "precondition")) {
                Map<?, ?> row = (Map<?, ?>) o;
                Map<String, Object> item = items.get(row.get("key"));
                if (!row.get("revision").equals(item == null ? 0L : item.get("revision"))) {
                    status = 412;
                }
                if (item != null) {
                    current.add(item);
                }
            }
            for (Object o : list(body, "writes")) {
                Object lease = ((Map<?, ?>) o).get("lease");
                if (status == 200 && lease != null && !lease.equals(0L) && !leaseTtlMs.containsKey(lease)) {
                    status = 404;
                }
            }
            if (status == 200) {
                for (Object o : list(body, "writes")) {
                    Map<?, ?> w = (Map<?, ?>) o;
                    Object lease = w.get("lease");
                    put((String) w.get("key"), (String) w.get("value"), lease == null ? 0 : (long) lease);
                }
                list(body, "remove").forEach(k -> remove((String) k));
            }
            reply = status == 412 ? Json.of("items", current) : status == 404 ? Json.of() : Json.of("revision", revision);
        }
        send(out, status, reply);
    }

    private static List<?> list(Map<String, Object> body, String name) {
        Object l = body.get(name);
        return l == null ? List.of() : (List<?>) l;
    }

    private void put(String key, String base64, long lease) {
        revision++;
        Map<String, Object> before = items.get(key);
        Map<String, Object> item = Json.of("key", key, "value", base64, "revision", revision, "createRev",
                before == null ? revision : before.get("createRev"), "lease", lease);
        items.put(key, item);
        history.add(item);
    }

    private void remove(String key) {
        if (items.remove(key) != null) {
            revision++;
            history.add(Json.of("key", key, "revision", revision, "deleted", true));
        }
    }

    /** Writes a value as the operator or an engine does. */
    synchronized void write(String key, Object json) {
        put(key, Base64.getEncoder().encodeToString(Json.write(json).getBytes(StandardCharsets.UTF_8)), 0);
    }

    /** Writes any bytes, as another writer may. */
    synchronized void writeRaw(String key, byte[] value) {
        put(key, Base64.getEncoder().encodeToString(value), 0);
    }

    synchronized void delete(String key) {
        remove(key);
    }

    synchronized boolean has(String prefix) {
        String next = items.ceilingKey(prefix);
        return next != null && next.startsWith(prefix);
    }

    private static void send(OutputStream out, int status, Object json) throws IOException {
        byte[] body = Json.write(json).getBytes(StandardCharsets.UTF_8);
        String head = "HTTP/1.1 " + status + " X\r\nContent-Type: application/json\r\nContent-Length: " + body.length
                + "\r\n\r\n";
        byte[] all = new byte[head.length() + body.length];
        System.arraycopy(head.getBytes(StandardCharsets.US_ASCII), 0, all, 0, head.length());
        System.arraycopy(body, 0, all, head.length(), body.length);
        out.write(all);
        out.flush();
    }
}
