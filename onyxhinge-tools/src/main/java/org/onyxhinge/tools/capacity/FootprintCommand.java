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
 * {@code capacity footprint}: starts a small fleet of real processes on loopback, leaves it idle, and prints the
 * cost of the control plane for each router and agent: CPU time, memory, peer traffic and key-value calls per
 * second. All agents share one simulated engine. All processes are stopped at the end; the number of processes
 * and the duration are limited.
 */
@Command(name = "footprint", description = "Measure the control-plane cost of each process in an idle fleet")
public final class FootprintCommand implements Runnable {

    /** The processes are started in this order: key-value service, engine, routers, agents. */
    private static final int FIRST_ROUTER = 2;

    private static final int MAX_PROCESSES = 100;
    private static final int MAX_SECONDS = 300;
    private static final long CALL_TIMEOUT_MS = 20_000;
    private static final long START_TIMEOUT_MS = 120_000;
    private static final double MS_PER_SECOND = 1_000.0;
    private static final double BYTES_PER_MB = 1 << 20;

    @Option(name = "--routers", title = "N", description = "number of routers (default 2)")
    private int routers = 2;

    @Option(name = "--agents", title = "N", description = "number of agents (default 20)")
    private int agents = 20;

    @Option(name = "--pools", title = "N", description = "number of pools the agents are divided among (default 2)")
    private int pools = 2;

    @Option(name = "--engines-per-pool", title = "N", description = "engines per pool tracked by a router (default 16)")
    private int enginesPerPool = 16;

    @Option(name = "--report-interval-ms", title = "MS", description = "the agents' report interval (default 1000)")
    private int reportIntervalMs = 1_000;

    @Option(name = "--settle-seconds", title = "N", description = "seconds to wait before measuring (default 20)")
    private int settleSeconds = 20;

    @Option(name = "--seconds", title = "N", description = "seconds to measure (default 20)")
    private int seconds = 20;

    @Option(name = "--changes", title = "N", description = "configuration changes to time at the end (default 50)")
    private int changes = 50;

    @Option(name = "--requests", title = "N", description = "requests per batch for the traffic cost (default 500)")
    private int requests = 500;

    private final List<Process> processes = new ArrayList<>();
    private final List<Integer> routerPorts = new ArrayList<>();
    private final List<Integer> agentPorts = new ArrayList<>();
    private final Vertx vertx = Vertx.vertx();
    private final HttpClient http = vertx.createHttpClient();
    private Path workDir;
    private int adminPort;

    /** Resource usage and counters reported by one process. */
    private record ProcessStats(
            long cpuMs, long residentBytes, long privateBytes, long peerBytesIn, long peerBytesOut, long kvCalls) {}

    @Override
    public void run() {
        Logs.setUp("footprint", "SEVERE");
        if (routers < 1
                || agents < 1
                || routers + agents > MAX_PROCESSES
                || seconds < 1
                || seconds + settleSeconds > MAX_SECONDS) {
            Launch.fail(
                    Launch.EXIT_USAGE,
                    "at least 1 router, 1 agent and 1 second, and at most " + MAX_PROCESSES + " processes and "
                            + MAX_SECONDS + " seconds");
            return;
        }
        try {
            measure();
        } catch (IOException | InterruptedException | IllegalStateException e) {
            System.err.println("error: " + e.getMessage());
        } finally {
            processes.forEach(Process::destroyForcibly);
            vertx.close();
        }
    }

    private void measure() throws IOException, InterruptedException {
        workDir = Files.createTempDirectory("onyxhinge-footprint");
        startFleet();
        Thread.sleep((long) (settleSeconds * MS_PER_SECOND));
        List<ProcessStats> routersBefore = readStats(routerPorts);
        List<ProcessStats> agentsBefore = readStats(agentPorts);
        Thread.sleep((long) (seconds * MS_PER_SECOND));
        System.out.printf(
                "mean of %d routers, %d agents in %d pools, engines_per_pool %d, reports every %d ms, %d s%n",
                routers, agents, pools, enginesPerPool, reportIntervalMs, seconds);
        System.out.println("role     cpu-percent  resident-mb  private-mb  peer-in-b/s  peer-out-b/s  kv-calls/s");
        printMeans("router", routersBefore, readStats(routerPorts));
        printMeans("agent", agentsBefore, readStats(agentPorts));
        if (requests > 0) {
            measureTraffic();
        }
        if (changes > 0) {
            Histogram ms = ConfigChangeTimer.measure(
                    vertx,
                    adminPort,
                    changes,
                    routerPorts,
                    port -> fetchState(port).getLong("configRevision"));
            System.out.printf(
                    "%d changes applied on all %d routers: p50 %d ms, p95 %d ms, max %d ms%n",
                    changes, routers, ms.getValueAtPercentile(50), ms.getValueAtPercentile(95), ms.getMaxValue());
        }
    }

    private void measureTraffic() throws InterruptedException {
        TrafficCost.configure(vertx, adminPort, "pool0");
        long pid = processes.get(FIRST_ROUTER).pid();
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
        try (Driver driver = Driver.create(vertx, "127.0.0.1", port, CALL_TIMEOUT_MS)) {
            new TrafficCost(driver, () -> fetchState(port), collectGarbage, requests).measure();
        }
    }

    private void startFleet() throws IOException, InterruptedException {
        int kvPort = Ports.free();
        int enginePort = Ports.free();
        startStandIn("kv", "--port", "" + kvPort, "--control-port", "" + Ports.free());
        startStandIn(
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
        awaitReady(routerPorts);
        awaitReady(agentPorts);
        if (!processes.stream().allMatch(Process::isAlive)) {
            throw new IllegalStateException("a process of the fleet exited during startup; see its log in " + workDir);
        }
    }

    private void startStandIn(String... args) throws IOException {
        List<String> all = new ArrayList<>(List.of("standin"));
        all.addAll(List.of(args));
        startJava(ToolsMain.class, "tools", all.toArray(String[]::new));
    }

    private void startRouter(int i, int kvPort) throws IOException {
        int port = Ports.free();
        int admin = Ports.free();
        adminPort = i == 0 ? admin : adminPort;
        routerPorts.add(port);
        startService(
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
        startService(
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

    private void startService(Class<?> main, String role, int i, List<String> settings) throws IOException {
        Path file = Files.write(workDir.resolve(role + "-" + i + ".ini"), settings);
        startJava(main, role, "run", "--config", file.toString(), "--log-level", "WARNING");
    }

    /** Starts a main class with the JVM options and environment that its script in {@code bin/} uses. */
    private void startJava(Class<?> main, String role, String... args) throws IOException {
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
                .redirectOutput(workDir.resolve(processes.size() + ".log").toFile());
        builder.environment().put("MALLOC_ARENA_MAX", "1");
        processes.add(builder.start());
    }

    private void awaitReady(List<Integer> ports) throws InterruptedException {
        long deadlineMs = System.currentTimeMillis() + START_TIMEOUT_MS;
        for (int port : ports) {
            while (!isReady(port)) {
                if (System.currentTimeMillis() > deadlineMs) {
                    throw new IllegalStateException(
                            "no status response from port " + port + " within " + START_TIMEOUT_MS + " ms");
                }
                Thread.sleep(100);
            }
        }
    }

    private boolean isReady(int port) {
        try {
            fetchState(port);
            return true;
        } catch (IllegalStateException e) {
            return false;
        }
    }

    private JsonObject fetchState(int port) {
        return Launch.await(
                http.request(HttpMethod.GET, port, "127.0.0.1", StatusEndpoints.STATE_PATH)
                        .compose(req -> req.send().compose(resp -> resp.body()))
                        .map(JsonObject::new),
                CALL_TIMEOUT_MS);
    }

    private List<ProcessStats> readStats(List<Integer> ports) {
        List<ProcessStats> out = new ArrayList<>();
        for (int port : ports) {
            JsonObject s = fetchState(port);
            JsonObject usage = s.getJsonObject("usage");
            out.add(new ProcessStats(
                    usage.getLong("cpuMs"),
                    usage.getLong("residentBytes"),
                    usage.getLong("privateBytes"),
                    s.getLong("peerBytesIn"),
                    s.getLong("peerBytesOut"),
                    s.getLong("kvCalls")));
        }
        return out;
    }

    private void printMeans(String role, List<ProcessStats> before, List<ProcessStats> after) {
        double cpuMs = 0;
        double residentBytes = 0;
        double privateBytes = 0;
        double in = 0;
        double out = 0;
        double calls = 0;
        int n = before.size();
        for (int i = 0; i < n; i++) {
            ProcessStats b = before.get(i);
            ProcessStats a = after.get(i);
            cpuMs += a.cpuMs() - b.cpuMs();
            residentBytes += a.residentBytes();
            privateBytes += a.privateBytes();
            in += a.peerBytesIn() - b.peerBytesIn();
            out += a.peerBytesOut() - b.peerBytesOut();
            calls += a.kvCalls() - b.kvCalls();
        }
        double perSecond = (double) n * seconds;
        System.out.printf(
                "%-8s %11.2f %12.1f %11.1f %12.1f %13.1f %11.3f%n",
                role,
                100 * cpuMs / MS_PER_SECOND / perSecond,
                residentBytes / n / BYTES_PER_MB,
                privateBytes / n / BYTES_PER_MB,
                in / perSecond,
                out / perSecond,
                calls / perSecond);
    }
}
