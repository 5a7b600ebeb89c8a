import java.io.IOException;
import java.io.PrintWriter;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A small deployment on loopback addresses: a store, engines, and routers as the deploy file starts them. */
final class World implements AutoCloseable {
    /** The parts of the rules that are in force on the small deployments. */
    static final List<String> CONTRACTS = List.of("base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants",
            "quota", "platform");

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Path dir;
    final Path temp;
    final PrintWriter record;
    final Store store;
    final List<Router> routers = new ArrayList<>();
    private final long startMs = nowMs();
    private volatile boolean closed;

    static {
        // An error of the case itself must not look like a broken rule.
        Thread.setDefaultUncaughtExceptionHandler((thread, e) -> {
            if (thread.getName().equals("main")) {
                e.printStackTrace();
                Runtime.getRuntime().halt(2);
            }
        });
    }

    World(String folder) throws IOException {
        dir = Path.of(folder);
        temp = Files.createTempDirectory("review-2-");
        record = new PrintWriter(Files.newBufferedWriter(dir.resolve("record.txt")), true);
        store = new Store();
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    synchronized void log(String format, Object... args) {
        String line = String.format("%7d ms  ", nowMs() - startMs) + String.format(format, args);
        record.println(line);
        System.out.println(line);
    }

    /** Writes a line to the record alone. */
    synchronized void note(String format, Object... args) {
        record.println(String.format("%7d ms  ", nowMs() - startMs) + String.format(format, args));
    }

    /** Ends the program: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
    void exit(int code) {
        log("exit %d", code);
        close();
        Runtime.getRuntime().halt(code);
    }

    /** A free port outside the range from which the system takes ports for clients. */
    static int freePort() throws IOException {
        while (true) {
            int port = java.util.concurrent.ThreadLocalRandom.current().nextInt(12_000, 30_000);
            try (ServerSocket s = new ServerSocket(port, 1, java.net.InetAddress.getByName("127.0.0.1"))) {
                return s.getLocalPort();
            } catch (java.net.BindException e) {
                // Taken.
            }
        }
    }

    /** The settings of a front machine of the small deployment. */
    Map<String, Object> settings(String node, List<String> contracts, long memoryMb) throws IOException {
        int front = freePort();
        int ready = freePort();
        int peers = freePort();
        return Json.of("node", node, "role", "router", "machineClass", "front", "serves", List.of("front"), "ip",
                "127.0.0.1", "zone", "a", "region", "r", "zones", Json.of("a", "r"), "listen",
                Json.of("front", "127.0.0.1:" + front, "ready", "127.0.0.1:" + ready), "portRange",
                List.of((long) peers, (long) peers), "seeds", List.of(), "bootstrap", true, "limits",
                Json.of("cpuShare", 0.57, "cpuCores", 1L, "memoryMb", memoryMb, "maxFds", 4100L, "linkMbps", 1000.0,
                        "diskMb", 0L),
                "discovery", "platform", "entry", "virtual_ip", "heartbeatMs", 1200L, "contracts", contracts, "tolerate",
                Json.of("machines", 1L, "zones", 0L, "regions", 0L), "bounds",
                Json.of("contactMs", 3000L, "ackMs", 4000L, "drainMs", 2000L, "graceS", 8L, "lossSlackMs", 200L,
                        "configApplyMs", 2000L, "rollbackSlackMs", 250L, "maxStretchMs", 5000L, "strictRevoke", true,
                        "revokeMs", 5000L, "budgetRatio", 0.2, "budgetWindowS", 10L, "budgetExtra", 58L, "quotaWindowS",
                        8L, "quotaOver", 0.1, "quotaSlack", 140000L, "recoverS", 12L, "passMs", 120L, "againS", 9.2),
                "platform", Json.of("address", "127.0.0.1:" + store.port(), "form", "kv", "writesPerS", 400L, "readsPerS",
                        2000L, "historyS", 20L, "valueBytes", 1048576L, "ttlMinMs", 1000L));
    }

    /** A front machine: its router is started again, as the platform does, whenever it ends. */
    final class Router {
        final String node;
        final int port;
        final int readyPort;
        private final Path file;
        volatile Process process;
        volatile boolean platformRestarts = true;
        /** Ends of the process that nobody asked for. */
        final List<Integer> ownEnds = new java.util.concurrent.CopyOnWriteArrayList<>();
        volatile boolean asked;

        Router(String node, List<String> contracts, long memoryMb) throws IOException {
            this.node = node;
            Map<String, Object> s = settings(node, contracts, memoryMb);
            Map<?, ?> listen = (Map<?, ?>) s.get("listen");
            port = Integer.parseInt(((String) listen.get("front")).split(":")[1]);
            readyPort = Integer.parseInt(((String) listen.get("ready")).split(":")[1]);
            file = temp.resolve(node + ".json");
            Files.writeString(file, Json.write(s));
            routers.add(this);
        }

        synchronized void start() throws IOException {
            if (closed) {
                return;
            }
            asked = false;
            String run = "target/runtime/bin/java @target/onyxhinge/jvm.opts -Xshare:auto"
                    + " -XX:SharedArchiveFile=target/onyxhinge/router.jsa -Donyxhinge.metricsPort=" + freePort()
                    + " org.onyxhinge.platform.PlatformMain run";
            ProcessBuilder b = new ProcessBuilder(run.split(" "));
            b.environment().keySet().retainAll(java.util.Set.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            b.environment().put("ONYXHINGE_CONFIG", file.toString());
            b.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(temp.resolve(node + ".log").toFile()));
            Process p = b.start();
            process = p;
            log("%s started, process %d", node, p.pid());
            p.onExit().thenAccept(x -> {
                log("%s ended, process %d, exit code %d%s", node, x.pid(), x.exitValue(), asked ? "" : ", by itself");
                if (!asked) {
                    ownEnds.add(x.exitValue());
                    if (platformRestarts) {
                        sleep(200);
                        try {
                            start();
                        } catch (IOException e) {
                            log("%s not started again: %s", node, e);
                        }
                    }
                }
            });
        }

        void signal(String name) throws IOException {
            log("SIG%s to %s, process %d", name, node, process.pid());
            try {
                new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }

        boolean ready() {
            try (Client c = new Client(readyPort)) {
                c.write("GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n");
                return c.read(1_000).status() == 200;
            } catch (IOException e) {
                return false;
            }
        }

        boolean awaitReady(long ms) {
            long until = nowMs() + ms;
            while (nowMs() < until) {
                if (ready()) {
                    return true;
                }
                sleep(20);
            }
            return false;
        }

        /** Memory that is resident now, in MB. */
        long residentMb() {
            try {
                for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
                    if (line.startsWith("VmRSS:")) {
                        return Long.parseLong(line.replaceAll("\\D", "")) >> 10;
                    }
                }
            } catch (IOException e) {
                // It has ended.
            }
            return 0;
        }

        String logText() throws IOException {
            return Files.readString(temp.resolve(node + ".log"));
        }
    }

    @Override
    public void close() {
        closed = true;
        for (Router r : routers) {
            // A router that is being started again is ended, too; none is started later.
            synchronized (r) {
                r.asked = true;
                Process p = r.process;
                if (p != null && p.isAlive()) {
                    p.destroyForcibly();
                    try {
                        p.waitFor(5, TimeUnit.SECONDS);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                }
            }
        }
        try (java.util.stream.Stream<Path> files = Files.walk(temp)) {
            files.sorted(java.util.Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
        } catch (IOException e) {
            // The folder stays.
        }
    }

    /** Writes the configuration: one service, with a non-idempotent, an idempotent and a stream route. */
    static Map<String, Object> config(long version, boolean resumable) {
        return Json.of("version", version, "routes",
                List.of(route("r-one", "/one/", "non_idempotent", false), route("r-any", "/any/", "idempotent", false),
                        route("r-str", "/str/", "stream", resumable)),
                "services", List.of(Json.of("name", "svc", "healthPath", "/health", "maxConns", 370L, "protocol", "h1",
                        "tls", false)),
                "limits", Json.of("maxHeaderBytes", 16384L, "maxBodyBytes", 4194304L, "headerTimeoutMs", 3000L,
                        "idleTimeoutMs", 15000L),
                "tenants", List.of(Json.of("name", "hule930", "apiKeys",
                        List.of("i9n73hh2b9wu3fexd9dn", "n2ctnfzs989anu6wsjnb"), "unit", "tokens", "plainTokens", 200L,
                        "perS", 0L, "burst", 0L)));
    }

    static Map<String, Object> route(String name, String prefix, String kind, boolean resumable) {
        return Json.of("name", name, "host", "ficu95.example", "pathPrefix", prefix, "kind", kind, "timeoutMs", 15000L,
                "targetLatencyMs", 4000L, "priority", 0L, "service", "svc", "maxAttempts", 2L, "public", false, "sticky",
                false, "resumable", resumable, "gapAimMs", 400L);
    }
}
