import java.io.IOException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Case 3: a burst of requests with long answers meets one router while engines are slow. A success must be whole. */
final class CutAnswers {

    /** The length of an answer. */
    private static final int BODY = 4_194_304;

    /** Requests whose engines stop before the last bytes of the answer, until the deadline is over. */
    private static final int STALLING = 18;

    /** Requests whose engines send steadily. */
    private static final int STEADY = 8;

    private static final int TAIL = 1_000;
    private static final int PIECE = 32_768;

    private final World.Router router;
    private final AtomicInteger whole = new AtomicInteger();
    private final AtomicInteger cut = new AtomicInteger();
    private final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    private CutAnswers(World w) throws IOException {
        w.store().put("op/config", Config.version(7));
        byte[] body = body();
        for (int i = 0; i < 5; i++) {
            new Engine(w.store(), "i-app" + i, "wuno96b", 6, (m, s, out) -> {
                String id = m.header("X-Request-Id");
                boolean stalls = m.words()[1].startsWith("/puxa403/");
                out.write(("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nX-Request-Id: " + id + "\r\nX-Response-Stamp: 3e1b."
                                + id + "\r\nContent-Length: " + BODY + "\r\n\r\n")
                        .getBytes());
                int piece = stalls ? BODY - TAIL : PIECE;
                for (int at = 0; at < BODY; at += piece) {
                    if (at > 0) {
                        Thread.sleep(!trouble ? 2 : stalls ? 6_000 : 60);
                    }
                    out.write(body, at, Math.min(piece, BODY - at));
                    out.flush();
                }
                World.note("engine has answered %s with %d bytes", id, BODY);
                return true;
            });
        }
        router = w.router(1, w.store().address());
    }

    public static void main(String[] args) throws Exception {
        int exit = 2;
        try (World w = new World(Path.of(args[0]), Path.of(args[1]))) {
            exit = new CutAnswers(w).play();
        } catch (World.CannotRun e) {
            System.out.println("cannot run: " + e.getMessage());
        }
        System.exit(exit);
    }

    private int play() throws Exception {
        router.start();
        router.awaitReady(20_000);
        Thread.sleep(1_000);
        int all = STALLING + STEADY;
        CountDownLatch done = new CountDownLatch(all);
        Semaphore atOnce = new Semaphore(trouble ? all : 2);
        for (int i = 0; i < all; i++) {
            boolean stalls = i < STALLING;
            long startMs = !trouble ? 0 : stalls ? 100L * i : 1_800;
            World.start(() -> {
                atOnce.acquire();
                try {
                    Thread.sleep(startMs);
                    ask(stalls);
                } finally {
                    atOnce.release();
                    done.countDown();
                }
            });
        }
        if (!done.await(60, TimeUnit.SECONDS)) {
            throw new World.CannotRun("the clients have not ended");
        }
        World.note("asked %d, got the whole answer %d, a success that is not whole %d", all, whole.get(), cut.get());
        World.note("OutOfMemoryError in the router's log: %d", World.logLines(router, "OutOfMemoryError").size());
        if (!trouble && whole.get() < all) {
            throw new World.CannotRun("without the burst only " + whole.get() + " of " + all + " were served");
        }
        return cut.get() > 0 ? 1 : 0;
    }

    private void ask(boolean stalls) {
        String id = Client.newId();
        long deadlineMs = stalls ? 4_000 : 15_000;
        long from = World.now();
        String got;
        try (Client c = new Client(router)) {
            c.send(Client.head("POST", stalls ? "/puxa403/1" : "/gaso118/1", id, deadlineMs, 600, ""), new byte[600]);
            Http.Message m = c.answer(deadlineMs + 1_000);
            if (m == null) {
                got = "no answer";
            } else {
                got = m.status() + ", " + m.body().length + " bytes";
                if (m.status() == 200 && Arrays.equals(m.body(), body())) {
                    whole.incrementAndGet();
                } else if (m.status() == 200) {
                    cut.incrementAndGet();
                    got += ", NOT THE ENGINE'S BODY, signature " + m.header("X-Response-Stamp");
                }
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
