import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Case 7: another writer leaves bytes that can't be read under servers/; then the engines are replaced one by one. */
public final class Case7 {
    private static final int ENGINES = 4;
    private static final int REPLACEMENTS = 9;
    private static final long GAP_MS = 4_000;
    private static final long DRAIN_MS = 2_000;
    /** How much longer than drainMs a leaving engine serves. */
    private static final long LONGER_MS = 300;

    private static final long WORK_MS = 200;
    private static final long EVERY_MS = 40;

    private static final Map<String, AtomicInteger> answers = new ConcurrentHashMap<>();
    private static final Map<String, Integer> statusOf = new ConcurrentHashMap<>();

    public static void main(String[] args) throws Exception {
        World w = new World(args[0]);
        w.store.write("op/config", World.config(1, false));
        List<Engine> engines = new ArrayList<>();
        for (int i = 1; i <= ENGINES; i++) {
            engines.add(engine(w, i));
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
            Thread.ofPlatform().daemon().start(() -> clients(w, r));
        }
        World.sleep(4_000);
        if (w.trouble) {
            w.log("another writer writes 2,000 bytes that are no JSON to servers/i-0e11");
            w.store.writeRaw("servers/i-0e11", "[".repeat(2_000).getBytes(StandardCharsets.US_ASCII));
        }
        World.sleep(4_000);
        List<Engine> left = new ArrayList<>();
        for (int i = 0; i < REPLACEMENTS; i++) {
            engines.add(engine(w, ENGINES + 1 + i));
            World.sleep(GAP_MS - DRAIN_MS - LONGER_MS);
            Engine old = engines.get(i);
            old.register("draining");
            old.drainingSinceMs = World.nowMs();
            w.log("%s drains, as the store has accepted", old.id);
            World.sleep(DRAIN_MS + LONGER_MS);
            old.exit();
            w.log("%s has ended", old.id);
            left.add(old);
        }
        World.sleep(3_000);
        int late = 0;
        int lost = 0;
        for (Engine e : left) {
            for (Engine.Run run : e.runs) {
                long afterMs = run.atMs() - e.drainingSinceMs;
                if (afterMs > DRAIN_MS) {
                    late++;
                    Integer status = statusOf.get(run.id());
                    lost += status == null || status != 200 ? 1 : 0;
                    w.log("request %s reached %s %d ms after the store had accepted that it drains; its client got %s", run.id(), e.id,
                            afterMs, status);
                }
            }
        }
        w.log("answers %s", new TreeMap<>(answers));
        for (World.Router r : fronts) {
            long errors = r.logText().lines().filter(l -> l.contains("StackOverflowError")).count();
            w.log("%s wrote %d lines that name StackOverflowError", r.node, errors);
        }
        w.log("DRAIN: %d requests reached engines later than drainMs after they drained; %d of them were lost", late, lost);
        boolean served = answers.containsKey("200") && answers.get("200").get() > 500;
        w.exit(!served ? 2 : late > 0 ? 1 : 0);
    }

    private static Engine engine(World w, int number) throws IOException {
        return new Engine(w.store, "i-" + number, "svc", 11, (engine, head, in, out) -> {
            byte[] body = Http.body(head, in);
            engine.ran(head, body.length);
            w.note("run %s at %s", head.field("X-Request-Id"), engine.id);
            World.sleep(WORK_MS);
            Engine.answer(head, out, new byte[800]);
        });
    }

    /** New requests at a steady rate, each on a connection of its own. */
    private static void clients(World w, World.Router r) {
        while (true) {
            Thread.startVirtualThread(() -> {
                String id = Client.newId();
                int status = 0;
                w.note("sent %s to %s", id, r.node);
                try (Client c = new Client(r.port)) {
                    c.write(Client.head("POST", "/one/lookup", id, 4_000, "Content-Length: 0\r\n"));
                    status = c.read(5_000).status();
                } catch (IOException e) {
                    // Counted as status 0.
                }
                statusOf.put(id, status);
                w.note("answered %s: %d", id, status);
                answers.computeIfAbsent(Integer.toString(status), x -> new AtomicInteger()).incrementAndGet();
            });
            World.sleep(EVERY_MS);
        }
    }
}
