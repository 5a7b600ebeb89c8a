import java.io.IOException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 1: a burst of uploads, each within maxBodyBytes, meets one router. Engines must get each body as it was sent, or
 * not at all.
 */
final class CutBodies {

    /** The maxBodyBytes of the configuration. */
    private static final int BODY = 4_194_304;

    /** Clients that are too slow for their deadline: they send all but the last bytes, and stall. */
    private static final int STALLING = 18;

    /** Clients that send steadily and have time enough. */
    private static final int STEADY = 4;

    private static final int TAIL = 1_000;
    private static final int PIECE = 32_768;

    private final World.Router router;
    private final Map<String, Boolean> sent = new ConcurrentHashMap<>();
    private final AtomicInteger succeeded = new AtomicInteger();
    private final AtomicInteger run = new AtomicInteger();
    private final AtomicInteger changed = new AtomicInteger();

    private CutBodies(World w) throws IOException {
        w.store().put("op/config", Config.version(7));
        for (int i = 0; i < 3; i++) {
            new Engine(w.store(), "i-app" + i, "wuno96b", 6, (m, s, out) -> {
                String id = m.header("X-Request-Id");
                boolean same = sent.containsKey(id) && Arrays.equals(m.body(), body());
                World.note("engine runs %s body=%d bytes, %s", id, m.body().length, same ? "as sent" : "CHANGED");
                run.incrementAndGet();
                if (!same) {
                    changed.incrementAndGet();
                }
                Thread.sleep(20);
                Engine.answer(out, 200, Map.of("X-Request-Id", id, "X-Response-Stamp", "3e1b." + id), "x".repeat(800));
                return true;
            });
        }
        router = w.router(1, w.store().address());
    }

    public static void main(String[] args) throws Exception {
        int exit = 2;
        try (World w = new World(Path.of(args[0]), Path.of(args[1]))) {
            exit = new CutBodies(w).play(!"0".equals(System.getenv("TROUBLE")));
        } catch (World.CannotRun e) {
            System.out.println("cannot run: " + e.getMessage());
        }
        System.exit(exit);
    }

    private int play(boolean trouble) throws Exception {
        router.start();
        router.awaitReady(20_000);
        Thread.sleep(1_000);
        int all = STALLING + STEADY;
        CountDownLatch done = new CountDownLatch(all);
        Semaphore atOnce = new Semaphore(trouble ? all : 2);
        World.note("%d clients send %d bytes each, %d at once", all, BODY, atOnce.availablePermits());
        for (int i = 0; i < all; i++) {
            boolean stalls = i < STALLING;
            long startMs = !trouble ? 0 : stalls ? 100L * i : 1_800;
            long pauseMs = stalls ? trouble ? 6_000 : 50 : trouble ? 60 : 2;
            World.start(() -> {
                atOnce.acquire();
                try {
                    Thread.sleep(startMs);
                    upload(stalls, pauseMs);
                } finally {
                    atOnce.release();
                    done.countDown();
                }
            });
        }
        if (!done.await(60, TimeUnit.SECONDS)) {
            throw new World.CannotRun("the clients have not ended");
        }
        World.note(
                "sent %d, run %d, run with a changed body %d, answered with success %d",
                all, run.get(), changed.get(), succeeded.get());
        World.note(
                "OutOfMemoryError in the router's log: %d",
                World.logLines(router, "OutOfMemoryError").size());
        if (!trouble && succeeded.get() < all) {
            throw new World.CannotRun("without the burst only " + succeeded.get() + " of " + all + " were served");
        }
        return changed.get() > 0 ? 1 : 0;
    }

    private void upload(boolean stalls, long pauseMs) throws InterruptedException {
        String id = Client.newId();
        byte[] body = body();
        long deadlineMs = stalls ? 4_000 : 15_000;
        int piece = stalls ? BODY - TAIL : PIECE;
        sent.put(id, true);
        long from = World.now();
        String got;
        try (Client c = new Client(router)) {
            c.send(Client.head("POST", stalls ? "/puxa403/1" : "/gaso118/1", id, deadlineMs, BODY, ""), new byte[0]);
            for (int at = 0; at < BODY; at += piece) {
                if (at > 0) {
                    Thread.sleep(pauseMs);
                }
                c.send("", Arrays.copyOfRange(body, at, Math.min(BODY, at + piece)));
            }
            World.note("client has sent %s, %d bytes, after %d ms", id, BODY, World.now() - from);
            Http.Message m = c.answer(deadlineMs + 1_000 - (World.now() - from));
            got = m == null ? "no answer" : Integer.toString(m.status());
            if (m != null && m.status() == 200) {
                succeeded.incrementAndGet();
            }
        } catch (IOException e) {
            got = e.toString();
        }
        World.note("client gets %s for %s after %d ms", got, id, World.now() - from);
    }

    private static byte[] body() {
        byte[] out = new byte[BODY];
        for (int i = 0; i < BODY; i++) {
            out[i] = (byte) (i / 977);
        }
        return out;
    }
}
