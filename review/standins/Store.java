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

/** Stand-in of the platform's store, as PROTOCOL.md describes it: items, watches, transactions and leases. */
final class Store {

    private static final int PAGE = 400;
    private static final int PAGE_BYTES = 1 << 20;
    private static final long HISTORY_NANOS = 20_000_000_000L;

    /** What becomes of a call. */
    enum Fate {
        /** It is done and answered. */
        ANSWERED,
        /** It is done, and its answer is lost: its connection carries nothing further. */
        LOST,
        /** Nothing is done: 503. */
        REFUSED,
        /** Nothing is done and nothing is answered. */
        SILENT
    }

    /** Decides what becomes of a call. */
    interface Faults {
        Fate fate(String method, String path, String body);
    }

    private record Item(String value, long revision, long created, long lease) {
        String json(String key) {
            return "{\"key\":" + Json.quote(key) + ",\"value\":\"" + value + "\",\"revision\":" + revision
                    + ",\"createRev\":" + created + ",\"lease\":" + lease + "}";
        }
    }

    private record Event(String key, long revision, String json, long atNanos) {}

    /** An address of the store; what becomes of the calls that come there can be set. */
    final class Door {
        private final ServerSocket server;
        private volatile Faults faults = (method, path, body) -> Fate.ANSWERED;

        private Door() throws IOException {
            server = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
            World.loop(() -> {
                Socket s = server.accept();
                World.start(() -> serve(s, this));
            });
        }

        String address() {
            return "127.0.0.1:" + server.getLocalPort();
        }

        void faults(Faults now) {
            faults = now;
        }
    }

    private final Door door;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Event> history = new ArrayList<>();
    private final Map<Long, long[]> leases = new HashMap<>();
    private long revision = 100;
    /** The newest revision that the history no longer has. */
    private long forgotten = 100;
    private long nextLease = 7_000;

    Store() throws IOException {
        door = new Door();
        World.loop(() -> {
            Thread.sleep(50);
            expire();
        });
    }

    String address() {
        return door.address();
    }

    /** Opens another address, for one machine. */
    Door open() throws IOException {
        return new Door();
    }

    /** Writes as the operator or an engine does; returns the revision. */
    synchronized long put(String key, String value) {
        return put(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0, ++revision);
    }

    private long put(String key, String value, long lease, long atRevision) {
        Item before = items.get(key);
        Item item = new Item(value, atRevision, before == null ? atRevision : before.created(), lease);
        items.put(key, item);
        history.add(new Event(key, atRevision, item.json(key), System.nanoTime()));
        notifyAll();
        return atRevision;
    }

    synchronized void remove(String key) {
        remove(key, ++revision);
    }

    private void remove(String key, long atRevision) {
        if (items.remove(key) != null) {
            history.add(new Event(
                    key,
                    atRevision,
                    "{\"key\":" + Json.quote(key) + ",\"revision\":" + atRevision + ",\"deleted\":true}",
                    System.nanoTime()));
            notifyAll();
        }
    }

    /** The value of a key; null if there is none. */
    synchronized String value(String key) {
        Item item = items.get(key);
        return item == null ? null : new String(Base64.getDecoder().decode(item.value()), StandardCharsets.UTF_8);
    }

    private synchronized void expire() {
        long now = System.nanoTime();
        while (!history.isEmpty() && now - history.getFirst().atNanos() > HISTORY_NANOS) {
            forgotten = history.removeFirst().revision();
        }
        leases.entrySet().removeIf(e -> {
            boolean over = now > e.getValue()[1];
            if (over) {
                end(e.getKey());
            }
            return over;
        });
    }

    private void end(long lease) {
        List.copyOf(items.entrySet()).stream()
                .filter(i -> i.getValue().lease() == lease)
                .forEach(i -> remove(i.getKey(), ++revision));
    }

    private void serve(Socket s, Door at) throws Exception {
        try (s) {
            s.setTcpNoDelay(true);
            InputStream in = Http.buffered(s.getInputStream());
            for (Http.Message m = Http.read(in, false); m != null; m = Http.read(in, false)) {
                String[] words = m.words();
                Fate fate = at.faults.fate(words[0], words[1], m.text());
                String[] answer = {"503", "{}"};
                if (fate == Fate.ANSWERED || fate == Fate.LOST) {
                    answer = handle(words[0], words[1], m.text());
                }
                if (fate == Fate.LOST || fate == Fate.SILENT) {
                    Thread.sleep(60_000);
                }
                byte[] body = answer[1].getBytes(StandardCharsets.UTF_8);
                OutputStream out = s.getOutputStream();
                out.write(("HTTP/1.1 " + answer[0] + " X\r\nContent-Type: application/json\r\nContent-Length: "
                                + body.length + "\r\n\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1));
                out.write(body);
                out.flush();
            }
        }
    }

    private String[] handle(String method, String uri, String body) throws InterruptedException {
        int mark = uri.indexOf('?');
        String path = mark < 0 ? uri : uri.substring(0, mark);
        Map<String, String> query = new HashMap<>();
        if (mark >= 0) {
            for (String pair : uri.substring(mark + 1).split("&")) {
                String[] kv = pair.split("=", 2);
                query.put(kv[0], URLDecoder.decode(kv.length > 1 ? kv[1] : "", StandardCharsets.UTF_8));
            }
        }
        if (path.equals("/api/kv-range")) {
            return range(query);
        }
        if (path.equals("/api/kv-key")) {
            synchronized (this) {
                Item item = items.get(query.get("key"));
                String json = item == null ? "" : item.json(query.get("key"));
                return item == null
                        ? new String[] {"404", "{\"storeRevision\":" + revision + "}"}
                        : new String[] {
                            "200", json.substring(0, json.length() - 1) + ",\"storeRevision\":" + revision + "}"
                        };
            }
        }
        if (path.equals("/api/kv-watch")) {
            return watch(query);
        }
        if (path.equals("/api/kv-txn")) {
            return transact(Json.object(body));
        }
        if (path.equals("/api/kv-lease")) {
            long ttl = Math.max(1_000, ((Double) Json.object(body).get("ttlMs")).longValue());
            synchronized (this) {
                leases.put(++nextLease, new long[] {ttl, System.nanoTime() + ttl * 1_000_000});
                return new String[] {"200", "{\"lease\":" + nextLease + ",\"ttlMs\":" + ttl + "}"};
            }
        }
        long lease = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
        synchronized (this) {
            long[] known = leases.get(lease);
            if (known == null) {
                return new String[] {"404", "{}"};
            }
            if (method.equals("DELETE")) {
                leases.remove(lease);
                end(lease);
            } else {
                known[1] = System.nanoTime() + known[0] * 1_000_000;
            }
            return new String[] {"200", "{\"ttlMs\":" + known[0] + "}"};
        }
    }

    private synchronized String[] range(Map<String, String> query) {
        String prefix = query.getOrDefault("pathPrefix", "");
        String after = query.get("afterRev");
        List<String> out = new ArrayList<>();
        boolean truncated = false;
        long bytes = 0;
        for (Map.Entry<String, Item> e : items.tailMap(after == null ? prefix : after, after == null).entrySet()) {
            if (!e.getKey().startsWith(prefix)) {
                break;
            }
            if (out.size() == PAGE || !out.isEmpty() && bytes + e.getValue().value().length() > PAGE_BYTES) {
                truncated = true;
                break;
            }
            bytes += e.getValue().value().length();
            out.add(e.getValue().json(e.getKey()));
        }
        return new String[] {
            "200",
            "{\"items\":[" + String.join(",", out) + "],\"truncated\":" + truncated + ",\"storeRevision\":" + revision
                    + "}"
        };
    }

    private synchronized String[] watch(Map<String, String> query) throws InterruptedException {
        String prefix = query.getOrDefault("pathPrefix", "");
        long after = Long.parseLong(query.get("afterRev"));
        long until = System.nanoTime() + Long.parseLong(query.get("waitMs")) * 1_000_000;
        while (true) {
            if (after < forgotten) {
                return new String[] {"410", "{}"};
            }
            List<String> out = new ArrayList<>();
            for (int i = history.size() - 1; i >= 0 && history.get(i).revision() > after; i--) {
                if (history.get(i).key().startsWith(prefix)) {
                    out.addFirst(history.get(i).json());
                }
            }
            long leftMs = (until - System.nanoTime()) / 1_000_000;
            if (!out.isEmpty() || leftMs <= 0) {
                return new String[] {
                    "200", "{\"events\":[" + String.join(",", out) + "],\"storeRevision\":" + revision + "}"
                };
            }
            wait(leftMs);
        }
    }

    @SuppressWarnings("unchecked")
    private synchronized String[] transact(Map<String, Object> call) {
        List<Map<String, Object>> conditions =
                (List<Map<String, Object>>) call.getOrDefault("precondition", List.of());
        List<Map<String, Object>> writes = (List<Map<String, Object>>) call.getOrDefault("writes", List.of());
        List<String> removed = (List<String>) call.getOrDefault("remove", List.of());
        for (Map<String, Object> c : conditions) {
            Item item = items.get((String) c.get("key"));
            if ((item == null ? 0 : item.revision()) != ((Double) c.get("revision")).longValue()) {
                return new String[] {
                    "412", "{\"items\":[" + (item == null ? "" : item.json((String) c.get("key"))) + "]}"
                };
            }
        }
        for (Map<String, Object> w : writes) {
            long lease = w.get("lease") == null ? 0 : ((Double) w.get("lease")).longValue();
            if (lease != 0 && !leases.containsKey(lease)) {
                return new String[] {"404", "{}"};
            }
        }
        long now = ++revision;
        for (Map<String, Object> w : writes) {
            long lease = w.get("lease") == null ? 0 : ((Double) w.get("lease")).longValue();
            put((String) w.get("key"), (String) w.get("value"), lease, now);
        }
        removed.forEach(k -> remove(k, now));
        return new String[] {"200", "{\"revision\":" + now + "}"};
    }
}
