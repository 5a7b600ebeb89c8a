import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 3: routers are stopped and started in turn. An engine preempts a stream for 1.8 s meanwhile, and another engine
 * is full. The planned stop must not cut the stream.
 */
final class SilentStream {

    private static final int EVENTS = 60;
    private static final int EVENT_MS = 50;
    private static final int PREEMPTED_AT = 30;
    private static final long PREEMPTED_MS = 1_800;
    private static final int ROUTERS = 3;

    private final World world;
    private final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final AtomicInteger cut = new AtomicInteger();
    private final AtomicInteger whole = new AtomicInteger();
    private final Map<String, Integer> made = new ConcurrentHashMap<>();

    private SilentStream(World w) {
        world = w;
    }

    public static void main(String[] args) throws Exception {
        int exit = 2;
        try (World w = new World(Path.of(args[0]), Path.of(args[1]))) {
            exit = new SilentStream(w).play();
        } catch (World.CannotRun e) {
            System.out.println("cannot run: " + e.getMessage());
        }
        System.exit(exit);
    }

    private int play() throws Exception {
        world.store().put("op/config", Config.version(7));
        new Engine(world.store(), "i-near", "huvo11a", 11, "halfway-tree", (m, s, out) -> {
            String id = m.header("X-Request-Id");
            World.note("engine i-near begins %s", id);
            out.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Request-Id: "
                            + id + "\r\nX-Response-Stamp: 3e1b." + id + "\r\n\r\n")
                    .getBytes());
            int from = m.header("Last-Event-Id") == null ? 0 : Integer.parseInt(m.header("Last-Event-Id"));
            try {
                for (int k = from + 1; k <= EVENTS; k++) {
                    boolean preempted = trouble && k == PREEMPTED_AT;
                    if (preempted) {
                        World.note("engine i-near preempts %s before event %d and reads it again", id, k);
                    }
                    Thread.sleep(preempted ? PREEMPTED_MS : EVENT_MS);
                    chunk(out, "id: " + k + "\ndata: " + id + " " + k + "\n\n");
                    made.put(id, k);
                }
                out.write("0\r\n\r\n".getBytes());
                out.flush();
            } catch (IOException e) {
                World.note("engine i-near: the connection of %s was closed after event %d", id, made.get(id));
                return false;
            }
            World.note("engine i-near has completed %s", id);
            return true;
        });
        // Busy with what other callers sent: it has no room for another request.
        new Engine(world.store(), "i-far", "huvo11a", 11, "downtown", (m, s, out) -> {
            String id = m.header("X-Request-Id");
            World.note("engine i-far is full: 503, not executed, %s after event %s", id, m.header("Last-Event-Id"));
            Engine.answer(out, 503, Map.of("X-Request-Id", id, "X-Not-Executed", "1"), "");
            return true;
        });
        List<World.Router> routers = new ArrayList<>();
        for (int i = 1; i <= ROUTERS; i++) {
            World.Router r = world.router(i, world.store().address());
            routers.add(r);
            r.start();
        }
        for (World.Router r : routers) {
            r.awaitReady(20_000);
        }
        Thread.sleep(2_000);
        for (World.Router r : routers) {
            CountDownLatch ended = new CountDownLatch(1);
            World.start(() -> {
                try {
                    stream(r);
                } finally {
                    ended.countDown();
                }
            });
            Thread.sleep(1_000);
            r.signal("TERM");
            ended.await(20, TimeUnit.SECONDS);
            if (!r.process.waitFor(12, TimeUnit.SECONDS)) {
                throw new World.CannotRun(r.name + " does not stop");
            }
            World.note("router %s has stopped", r.name);
            r.start();
            r.awaitReady(20_000);
        }
        World.note("streams through a planned stop: %d whole, %d cut", whole.get(), cut.get());
        if (whole.get() + cut.get() < ROUTERS) {
            throw new World.CannotRun("a stream was refused");
        }
        return cut.get() > 0 ? 1 : 0;
    }

    private static void chunk(OutputStream out, String text) throws IOException {
        out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes());
        out.flush();
    }

    private void stream(World.Router r) {
        String id = Client.newId();
        long from = World.now();
        String got;
        try (Client c = new Client(r)) {
            c.send(
                    Client.head(
                            "POST",
                            "/lohu930/1",
                            id,
                            15_000,
                            600,
                            "X-Model: m\r\nX-Token-Count: 6610,480\r\nX-Prompt-Prefix: 5c1e07a2:60,91bd3f06:6550\r\n"),
                    new byte[600]);
            // A client gives a stream up after a gap of 3.2 s.
            c.socket.setSoTimeout(3_200);
            Http.Message m = Http.read(c.in(), true);
            if (m.status() == 200 && m.text().endsWith("data: " + id + " " + EVENTS + "\n\n")) {
                whole.incrementAndGet();
                got = "200, whole";
            } else {
                got = m.status() + " " + m.text().trim();
            }
        } catch (IOException | NullPointerException e) {
            cut.incrementAndGet();
            got = "CUT OFF: " + e.getMessage();
        }
        World.note("client of %s gets %s for %s after %d ms", r.name, got, id, World.now() - from);
    }
}
