import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Case 4: clients send bodies below maxBodyBytes, and more of them come for a few seconds at a time. */
public final class Case4 {
    private static final int BODY_BYTES = 4_000_000;
    private static final int USUAL_CLIENTS = 3;
    private static final int BURST_CLIENTS = 6;
    private static final long BURST_MS = 2_500;
    private static final long PAUSE_MS = 2_500;
    private static final int BURSTS = 6;
    private static final int ENGINES = 13;
    private static final int ALLOWED = 3;

    private static final Set<String> run = ConcurrentHashMap.newKeySet();
    private static final Map<String, AtomicInteger> results = new ConcurrentHashMap<>();
    /** Requests sent on a kept connection that was closed without a byte of an answer. */
    private static final Map<String, String> unanswered = new ConcurrentHashMap<>();
    private static volatile int active = USUAL_CLIENTS;

    public static void main(String[] args) throws Exception {
        World w = new World(args[0]);
        w.store.write("op/config", World.config(1, false));
        for (int i = 1; i <= ENGINES; i++) {
            new Engine(w.store, "i-" + i, "svc", 11, (engine, head, in, out) -> {
                byte[] body = Http.body(head, in);
                run.add(head.field("X-Request-Id"));
                w.note("run %s at %s, %d bytes", head.field("X-Request-Id"), engine.id, body.length);
                World.sleep(400);
                Engine.answer(head, out, new byte[800]);
            });
        }
        List<World.Router> fronts = new ArrayList<>();
        for (String node : List.of("front-1", "front-2")) {
            World.Router r = w.new Router(node, World.CONTRACTS, 280);
            r.start();
            fronts.add(r);
        }
        for (World.Router r : fronts) {
            if (!r.awaitReady(20_000)) {
                w.log("%s is not ready", r.node);
                w.exit(2);
            }
        }
        for (World.Router r : fronts) {
            for (int n = 0; n < BURST_CLIENTS; n++) {
                int number = n;
                Thread.ofPlatform().daemon().start(() -> client(w, r, number));
            }
        }
        World.sleep(5_000);
        for (int i = 1; i <= BURSTS; i++) {
            active = w.trouble ? BURST_CLIENTS : USUAL_CLIENTS;
            World.sleep(BURST_MS);
            active = USUAL_CLIENTS;
            World.sleep(PAUSE_MS);
            w.log("after %d bursts: answers %s", w.trouble ? i : 0, new TreeMap<>(results));
        }
        int lost = 0;
        for (Map.Entry<String, String> e : unanswered.entrySet()) {
            if (run.contains(e.getKey())) {
                lost++;
                w.log("lost: request %s, passed on to an engine; its kept connection ended: %s", e.getKey(), e.getValue());
            }
        }
        int ends = 0;
        for (World.Router r : fronts) {
            w.log("%s: the process ended by itself %d times, exit codes %s", r.node, r.ownEnds.size(), r.ownEnds);
            ends += r.ownEnds.size();
            r.logText().lines().filter(l -> l.startsWith("Terminating")).forEach(l -> w.log("%s wrote: %s", r.node, l));
        }
        int served = results.containsKey("200") ? results.get("200").get() : 0;
        if (served < 50) {
            w.log("only %d requests served, the case says nothing", served);
            w.exit(ends > 0 && lost > ALLOWED ? 1 : 2);
        }
        w.log("LOST: %d requests lost, %d allowed; %d ends of processes", lost, ALLOWED, ends);
        w.exit(lost > ALLOWED ? 1 : 0);
    }

    private static void client(World w, World.Router r, int number) {
        byte[] body = new byte[BODY_BYTES];
        Client kept = null;
        int served = 0;
        while (true) {
            if (number >= active) {
                World.sleep(10);
                continue;
            }
            String id = Client.newId();
            boolean sent = false;
            try {
                if (kept == null) {
                    kept = new Client(r.port);
                    served = 0;
                }
                kept.write(Client.head("POST", "/one/upload", id, 15_000, "Content-Length: " + body.length + "\r\n"));
                kept.out.write(body);
                sent = true;
                w.note("sent %s to %s, client %d, request %d of its connection", id, r.node, number, served + 1);
                Client.Answer a = kept.read(16_000);
                w.note("answered %s: %s", id, a.status() == 0 ? "no answer, " + a.error() : a.status() + (a.whole() ? "" : ", cut"));
                results.computeIfAbsent(Integer.toString(a.status()), s -> new AtomicInteger()).incrementAndGet();
                if (a.status() == 0 && served > 0 && !a.error().contains("timed out")) {
                    unanswered.put(id, a.error());
                }
                if (a.status() == 200) {
                    served++;
                }
                boolean close = a.status() == 0 || !a.whole() || "close".equalsIgnoreCase(a.head().field("Connection"));
                if (close || a.status() == 503) {
                    kept.close();
                    kept = null;
                }
                String again = a.head() == null ? null : a.head().field("Retry-After");
                World.sleep(again == null ? 50 : (long) (1_000 * Double.parseDouble(again)) + 50);
            } catch (IOException e) {
                results.computeIfAbsent(sent ? "no answer" : "not sent", s -> new AtomicInteger()).incrementAndGet();
                if (kept != null) {
                    kept.close();
                    kept = null;
                }
                World.sleep(200);
            }
        }
    }
}
