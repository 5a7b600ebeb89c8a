import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 2: the store turns one of three routers away for 4.5 s, while the operator changes a large configuration in quick
 * succession. Afterwards the router must follow the configuration again.
 */
final class StuckWatch {

    private static final int ADDED_ROUTES = 3_300;
    private static final int STORM_VERSIONS = 25;
    private static final long STORM_GAP_MS = 60;
    private static final long AWAY_MS = 4_500;
    private static final long CONTACT_MS = 3_000;
    private static final long CONFIG_APPLY_MS = 2_000;
    private static final int KEPT = 6;

    private final World world;
    private final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final Set<String> run = ConcurrentHashMap.newKeySet();

    private StuckWatch(World w) {
        world = w;
    }

    public static void main(String[] args) throws Exception {
        int exit = 2;
        try (World w = new World(Path.of(args[0]), Path.of(args[1]))) {
            exit = new StuckWatch(w).play();
        } catch (World.CannotRun e) {
            System.out.println("cannot run: " + e.getMessage());
        }
        System.exit(exit);
    }

    /** A version with many routes; each version sets other time-outs. */
    private static String config(int version, boolean withBoard) {
        StringBuilder more = new StringBuilder();
        if (withBoard) {
            more.append("{\"name\":\"r-board\",\"host\":\"ficu95.example\",\"pathPrefix\":\"/board7/\",")
                    .append("\"kind\":\"idempotent\",\"timeoutMs\":2000,\"targetLatencyMs\":300,\"priority\":2,")
                    .append("\"service\":\"wuno96b\",\"maxAttempts\":2,\"public\":true},");
        }
        for (int i = 0; i < ADDED_ROUTES; i++) {
            more.append("{\"name\":\"r-")
                    .append(100_000 + i)
                    .append("\",\"host\":\"ficu95.example\",\"pathPrefix\":\"/added")
                    .append(i)
                    .append("/\",\"kind\":\"non_idempotent\",\"timeoutMs\":")
                    .append(4_000 + version)
                    .append(",\"targetLatencyMs\":300,\"priority\":2,\"service\":\"wuno96b\",\"maxAttempts\":1,")
                    .append("\"public\":false,\"sticky\":false,\"resumable\":false},");
        }
        return Config.version(version).replace("\"routes\":[", "\"routes\":[" + more);
    }

    private int play() throws Exception {
        Store.Door door = world.store().open();
        world.store().put("op/config", config(7, true));
        for (int i = 0; i < 3; i++) {
            new Engine(world.store(), "i-app" + i, "wuno96b", 6, (m, s, out) -> {
                String id = m.header("X-Request-Id");
                run.add(id);
                Thread.sleep(40);
                Engine.answer(out, 200, Map.of("X-Request-Id", id, "X-Response-Stamp", "3e1b." + id), "x".repeat(800));
                return true;
            });
        }
        World.Router turnedAway = world.router(1, door.address());
        World.Router other = world.router(2, world.store().address());
        World.Router third = world.router(3, world.store().address());
        for (World.Router r : List.of(turnedAway, other, third)) {
            r.start();
        }
        for (World.Router r : List.of(turnedAway, other, third)) {
            r.awaitReady(20_000);
        }
        Thread.sleep(4_000);

        int size = config(8, true).getBytes(StandardCharsets.UTF_8).length;
        World.note("configurations of %d bytes", size);
        if (trouble) {
            door.faults((method, path, body) -> Store.Fate.REFUSED);
            World.note("the store turns %s away: 503", turnedAway.name);
        }
        long awayFrom = World.now();
        List<Client> keptThere = keep(turnedAway);
        List<Client> keptOther = keep(other);
        int version = 7;
        for (int i = 0; i < STORM_VERSIONS; i++) {
            world.store().put("op/config", config(++version, true));
            Thread.sleep(trouble ? STORM_GAP_MS : 400);
        }
        World.note("the operator has written versions 8 to %d", version);
        sleepUntil(awayFrom + AWAY_MS);
        door.faults((method, path, body) -> Store.Fate.ANSWERED);
        World.note("the store serves all routers");
        Thread.sleep(CONTACT_MS + 300);
        world.store().put("op/config", config(++version, false));
        long acknowledged = World.now();
        World.note("version %d, without route r-board, is acknowledged", version);
        sleepUntil(acknowledged + CONFIG_APPLY_MS + 300);

        AtomicInteger stale = new AtomicInteger();
        AtomicInteger staleOther = new AtomicInteger();
        CountDownLatch asked = new CountDownLatch(2 * KEPT);
        for (int i = 0; i < KEPT; i++) {
            ask(keptThere.get(i), turnedAway, acknowledged, stale, asked);
            ask(keptOther.get(i), other, acknowledged, staleOther, asked);
        }
        asked.await();
        World.note(
                "requests on the dropped route that ran: %d of %d at %s, %d of %d at %s",
                stale.get(), KEPT, turnedAway.name, staleOther.get(), KEPT, other.name);
        Thread.sleep(40_000);
        World.note(
                "40 s later: GET /api/ready gives %d at %s, %d at %s, %d at %s; OutOfMemoryErrors of the first: %d",
                turnedAway.readyStatus(),
                turnedAway.name,
                other.readyStatus(),
                other.name,
                third.readyStatus(),
                third.name,
                World.logLines(turnedAway, "OutOfMemoryError").size());
        for (World.Router r : List.of(turnedAway, other)) {
            try (Client c = new Client(r)) {
                c.send(Client.head("POST", "/puxa403/1", Client.newId(), 4_000, 600, ""), new byte[600]);
                Http.Message m = c.answer(5_000);
                World.note("a request with a key gets %s at %s", m == null ? "nothing" : m.status() + " " + m.text().trim(), r.name);
            }
        }
        return stale.get() + staleOther.get() > 0 ? 1 : 0;
    }

    private static void sleepUntil(long ms) throws InterruptedException {
        Thread.sleep(Math.max(1, ms - World.now()));
    }

    /** Opens connections, each of which carries a request; they are kept open. */
    private List<Client> keep(World.Router r) throws IOException, World.CannotRun {
        List<Client> out = new ArrayList<>();
        for (int i = 0; i < KEPT; i++) {
            Client c = new Client(r);
            String id = Client.newId();
            c.send(Client.head("GET", "/board7/1", id, 4_000, 0, "").replace("X-Credential: " + Client.KEY + "\r\n", ""), new byte[0]);
            Http.Message m = c.answer(4_500);
            World.note("%s answers %s on r-board: %s", r.name, id, m == null ? "nothing" : m.status());
            if (m == null || m.status() != 200 || "close".equalsIgnoreCase(m.header("Connection"))) {
                throw new World.CannotRun(r.name + " does not serve r-board");
            }
            out.add(c);
        }
        return out;
    }

    /** Asks on the dropped route, and counts the request if it ran. */
    private void ask(Client c, World.Router r, long acknowledged, AtomicInteger stale, CountDownLatch asked) {
        World.start(() -> {
            String id = Client.newId();
            long sentAfter = World.now() - acknowledged;
            String got;
            try (c) {
                c.send(Client.head("GET", "/board7/1", id, 4_000, 0, "").replace("X-Credential: " + Client.KEY + "\r\n", ""), new byte[0]);
                Http.Message m = c.answer(5_000);
                got = m == null ? "nothing" : Integer.toString(m.status());
            } catch (IOException e) {
                got = e.toString();
            }
            World.note(
                    "%s answers %s on r-board, sent %d ms after the acknowledgement: %s%s",
                    r.name, id, sentAfter, got, run.contains(id) ? ", RUN" : "");
            if (run.contains(id)) {
                stale.incrementAndGet();
            }
            asked.countDown();
        });
    }
}
