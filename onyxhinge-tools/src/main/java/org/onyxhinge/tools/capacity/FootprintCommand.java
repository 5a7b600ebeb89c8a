package org.onyxhinge.tools.capacity;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import org.HdrHistogram.Histogram;
import org.onyxhinge.agent.cli.AgentMain;
import org.onyxhinge.router.cli.RouterMain;
import org.onyxhinge.runtime.Launch;
import org.onyxhinge.runtime.Logs;
import org.onyxhinge.runtime.Ports;
import org.onyxhinge.runtime.StatusEndpoints;
import org.onyxhinge.tools.ToolsMain;
import org.onyxhinge.tools.load.Driver;

/**
 * {@code capacity footprint}: starts a small fleet of real processes on loopback, leaves it quiet, and
 * prints what control alone takes of each router and agent: processor time, memory, peer bytes and
 * key-value calls a second. All agents stand beside one engine stand-in. Everything is stopped at the
 * end, and the size and time are bounded.
 */
@Command(name = "footprint", description = "Measure what control takes of each process in a quiet fleet")
public final class FootprintCommand implements Runnable {

    /** The processes are started in this order: key-value service, engine, routers, agents. */
    private static final int FIRST_ROUTER = 2;

    private static final int MAX_PROCESSES = 100;
    private static final int MAX_SECONDS = 300;
    private static final long CALL_MS = 20_000;
    private static final long START_MS = 120_000;
    private static final double MS_PER_SECOND = 1_000.0;
    private static final double BYTES_PER_MB = 1 << 20;

    @Option(name = "--routers", title = "N", description = "routers (default 2)")
    private int routers = 2;

    @Option(name = "--agents", title = "N", description = "agents (default 20)")
    private int agents = 20;

    @Option(name = "--pools", title = "N", description = "pools the agents are spread over (default 2)")
    private int pools = 2;

    @Option(name = "--engines-per-pool", title = "N", description = "engines of a pool a router follows (default 16)")
    private int enginesPerPool = 16;

    @Option(name = "--report-interval-ms", title = "MS", description = "the agents' report interval (default 1000)")
    private int reportIntervalMs = 1_000;

    @Option(name = "--settle-seconds", title = "N", description = "how long to wait before measuring (default 20)")
    private int settleSeconds = 20;

    @Option(name = "--seconds", title = "N", description = "how long to measure (default 20)")
    private int seconds = 20;

    @Option(name = "--changes", title = "N", description = "configuration changes to time at the end (default 50)")
    private int changes = 50;

    @Option(name = "--requests", title = "N", description = "requests of a batch for the traffic cost (default 500)")
    private int requests = 500;

    private final List<Process> started = new ArrayList<>();
    private final List<Integer> routerPorts = new ArrayList<>();
    private final List<Integer> agentPorts = new ArrayList<>();
    private final Vertx vertx = Vertx.vertx();
    private final HttpClient http = vertx.createHttpClient();
    private Path dir;
    private int adminPort;

    /** What one process shows of itself. */
    private record Reading(
            long cpuMs, long residentBytes, long privateBytes, long peerBytesIn, long peerBytesOut, long kvCalls) {}

    @Override
    public void run() {
        Logs.setUp("footprint", "SEVERE");
        if (routers < 1
                || agents < 1
                || routers + agents > MAX_PROCESSES
                || seconds < 1
                || seconds + settleSeconds > MAX_SECONDS) {
            Launch.fail(Launch.EXIT_USAGE, "at most " + MAX_PROCESSES + " processes and " + MAX_SECONDS + " seconds");
            return;
        }
        try {
            measure();
        } catch (IOException | InterruptedException | IllegalStateException e) {
            System.err.println("error: " + e.getMessage());
        } finally {
            started.forEach(Process::destroyForcibly);
            vertx.close();
        }
    }

    private void measure() throws IOException, InterruptedException {
        dir = Files.createTempDirectory("onyxhinge-footprint");
        startFleet();
        Thread.sleep((long) (settleSeconds * MS_PER_SECOND));
        List<Reading> routersBefore = read(routerPorts);
        List<Reading> agentsBefore = read(agentPorts);
        Thread.sleep((long) (seconds * MS_PER_SECOND));
        System.out.printf(
                "mean of %d routers, %d agents in %d pools, engines_per_pool %d, reports every %d ms, %d s%n",
                routers, agents, pools, enginesPerPool, reportIntervalMs, seconds);
        System.out.println("role     cpu-percent  resident-mb  private-mb  peer-in-b/s  peer-out-b/s  kv-calls/s");
        print("router", routersBefore, read(routerPorts));
        print("agent", agentsBefore, read(agentPorts));
        if (requests > 0) {
            measureTraffic();
        }
        if (changes > 0) {
            Histogram ms = ChangeTimer.time(
                    vertx, adminPort, changes, routerPorts, port -> state(port).getLong("configRevision"));
            System.out.printf(
                    "%d changes in force on all %d routers: p50 %d ms, p95 %d ms, max %d ms%n",
                    changes, routers, ms.getValueAtPercentile(50), ms.getValueAtPercentile(95), ms.getMaxValue());
        }
    }

    private void measureTraffic() throws InterruptedException {
        TrafficCost.configure(vertx, adminPort, "pool0");
        long pid = started.get(FIRST_ROUTER).pid();
        Path jcmd = Path.of(System.getProperty("java.home"), "bin", "jcmd");
        Runnable collectGarbage = () -> {
            try {
                new ProcessBuilder(jcmd.toString(), "" + pid, "GC.run")
                        .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                        .start()
                        .waitFor();
            } catch (IOException | InterruptedException e) {
                throw new IllegalStateException("jcmd failed: " + e.getMessage(), e);
            }
        };
        int port = routerPorts.get(0);
        try (Driver driver = Driver.create(vertx, "127.0.0.1", port, CALL_MS)) {
            new TrafficCost(driver, () -> state(port), collectGarbage, requests).measure();
        }
    }

    private void startFleet() throws IOException, InterruptedException {
        int kvPort = Ports.free();
        int enginePort = Ports.free();
        standIn("kv", "--port", "" + kvPort, "--control-port", "" + Ports.free());
        standIn(
                "engine",
                "--id",
                "shared",
                "--port",
                "" + enginePort,
                "--max-batch",
                "100000",
                "--prefill",
                "100000000",
                "--decode",
                "20");
        for (int i = 0; i < routers; i++) {
            startRouter(i, kvPort);
        }
        for (int i = 0; i < agents; i++) {
            startAgent(i, kvPort, enginePort);
        }
        awaitAll(routerPorts);
        awaitAll(agentPorts);
        if (!started.stream().allMatch(Process::isAlive)) {
            throw new IllegalStateException("a process of the fleet ended at once; its log is in " + dir);
        }
    }

    private void standIn(String... args) throws IOException {
        List<String> all = new ArrayList<>(List.of("standin"));
        all.addAll(List.of(args));
        java(ToolsMain.class, "tools", all.toArray(String[]::new));
    }

    private void startRouter(int i, int kvPort) throws IOException {
        int port = Ports.free();
        int admin = Ports.free();
        adminPort = i == 0 ? admin : adminPort;
        routerPorts.add(port);
        run(
                RouterMain.class,
                "router",
                i,
                List.of(
                        "[router]",
                        "id = r" + i,
                        "data_centre = local",
                        "http_port = " + port,
                        "admin_port = " + admin,
                        "engines_per_pool = " + enginesPerPool,
                        "[kv]",
                        "port = " + kvPort,
                        "lease_ttl_ms = 30000"));
    }

    private void startAgent(int i, int kvPort, int enginePort) throws IOException {
        int port = Ports.free();
        agentPorts.add(port);
        run(
                AgentMain.class,
                "agent",
                i,
                List.of(
                        "[agent]",
                        "id = a" + i,
                        "data_centre = local",
                        "status_port = " + port,
                        "peer_port = " + Ports.free(),
                        "report_interval_ms = " + reportIntervalMs,
                        "[target]",
                        "id = e" + i,
                        "pool = pool" + i % pools,
                        "port = " + enginePort,
                        "[kv]",
                        "port = " + kvPort,
                        "lease_ttl_ms = 60000"));
    }

    private void run(Class<?> main, String role, int i, List<String> settings) throws IOException {
        Path file = Files.write(dir.resolve(role + "-" + i + ".ini"), settings);
        java(main, role, "run", "--config", file.toString(), "--log-level", "WARNING");
    }

    /** Starts a binary with the flags and environment of its script in {@code bin/}. */
    private void java(Class<?> main, String role, String... args) throws IOException {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        Path options = Path.of("config", "jvm-" + role + ".opts");
        if (Files.exists(options)) {
            command.add("@" + options);
        }
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), main.getName()));
        command.addAll(List.of(args));
        ProcessBuilder builder = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(dir.resolve(started.size() + ".log").toFile());
        builder.environment().put("MALLOC_ARENA_MAX", "1");
        started.add(builder.start());
    }

    private void awaitAll(List<Integer> ports) throws InterruptedException {
        long untilMs = System.currentTimeMillis() + START_MS;
        for (int port : ports) {
            while (!answers(port)) {
                if (System.currentTimeMillis() > untilMs) {
                    throw new IllegalStateException("nothing answers on port " + port);
                }
                Thread.sleep(100);
            }
        }
    }

    private boolean answers(int port) {
        try {
            state(port);
            return true;
        } catch (IllegalStateException e) {
            return false;
        }
    }

    private JsonObject state(int port) {
        return Launch.await(
                http.request(HttpMethod.GET, port, "127.0.0.1", StatusEndpoints.STATE_PATH)
                        .compose(req -> req.send().compose(resp -> resp.body()))
                        .map(JsonObject::new),
                CALL_MS);
    }

    private List<Reading> read(List<Integer> ports) {
        List<Reading> out = new ArrayList<>();
        for (int port : ports) {
            JsonObject s = state(port);
            JsonObject usage = s.getJsonObject("usage");
            out.add(new Reading(
                    usage.getLong("cpuMs"),
                    usage.getLong("residentBytes"),
                    usage.getLong("privateBytes"),
                    s.getLong("peerBytesIn"),
                    s.getLong("peerBytesOut"),
                    s.getLong("kvCalls")));
        }
        return out;
    }

    private void print(String role, List<Reading> before, List<Reading> after) {
        double cpuMs = 0;
        double resident = 0;
        double privately = 0;
        double in = 0;
        double out = 0;
        double calls = 0;
        int n = before.size();
        for (int i = 0; i < n; i++) {
            Reading b = before.get(i);
            Reading a = after.get(i);
            cpuMs += a.cpuMs() - b.cpuMs();
            resident += a.residentBytes();
            privately += a.privateBytes();
            in += a.peerBytesIn() - b.peerBytesIn();
            out += a.peerBytesOut() - b.peerBytesOut();
            calls += a.kvCalls() - b.kvCalls();
        }
        double perSecond = (double) n * seconds;
        System.out.printf(
                "%-8s %11.2f %12.1f %11.1f %12.1f %13.1f %11.3f%n",
                role,
                100 * cpuMs / MS_PER_SECOND / perSecond,
                resident / n / BYTES_PER_MB,
                privately / n / BYTES_PER_MB,
                in / perSecond,
                out / perSecond,
                calls / perSecond);
    }
}
