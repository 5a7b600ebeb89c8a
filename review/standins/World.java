import java.io.File;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/** A small deployment on loopback: routers as the deploy file starts them, a store, and a record of what happens. */
final class World implements AutoCloseable {

    private static final long STARTED = System.nanoTime();
    private static PrintStream record;

    private final Path directory;
    private final Path repository;
    private final Store store;
    private final List<Router> routers = new ArrayList<>();

    /** Work that may fail. */
    interface Work {
        void run() throws Exception;
    }

    /** A router process. */
    static final class Router {
        final String name;
        final String ip;
        final int front;
        final int ready;
        Process process;
        ProcessBuilder builder;
        Path log;

        Router(String name, String ip, int front, int ready) {
            this.name = name;
            this.ip = ip;
            this.front = front;
            this.ready = ready;
        }

        void start() throws IOException {
            process = builder.start();
            note("router %s started", name);
        }

        void signal(String what) throws Exception {
            note("router %s gets SIG%s", name, what);
            new ProcessBuilder("kill", "-" + what, Long.toString(process.pid())).start().waitFor();
        }

        /** The status of GET /api/ready; 0 if there is no answer. */
        int readyStatus() {
            try (Socket s = new Socket()) {
                s.connect(new InetSocketAddress(ip, ready), 500);
                s.setSoTimeout(1_000);
                s.getOutputStream().write("GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n".getBytes());
                Http.Message m = Http.read(Http.buffered(s.getInputStream()), true);
                return m == null ? 0 : m.status();
            } catch (IOException e) {
                return 0;
            }
        }

        void awaitReady(long ms) throws Exception {
            long until = System.nanoTime() + ms * 1_000_000;
            while (readyStatus() != 200) {
                if (System.nanoTime() > until || !process.isAlive()) {
                    throw new CannotRun("router " + name + " isn't ready");
                }
                Thread.sleep(50);
            }
            note("router %s is ready", name);
        }
    }

    /** The case could not be run. */
    static final class CannotRun extends Exception {
        private static final long serialVersionUID = 1;

        CannotRun(String why) {
            super(why);
        }
    }

    World(Path caseDirectory, Path repository) throws IOException {
        this.directory = Files.createTempDirectory("onyxhinge-review-");
        this.repository = repository;
        record = new PrintStream(Files.newOutputStream(caseDirectory.resolve("record.txt")), true);
        this.store = new Store();
        Runtime.getRuntime().addShutdownHook(new Thread(this::stopAll));
    }

    /** Writes a line to the record, with the time in ms. */
    static synchronized void note(String format, Object... values) {
        String line = String.format("%8d  %s", now(), String.format(format, values));
        record.println(line);
    }

    /** Time in ms since the start. */
    static long now() {
        return (System.nanoTime() - STARTED) / 1_000_000;
    }

    static void start(Work work) {
        Thread.startVirtualThread(() -> {
            try {
                work.run();
            } catch (Exception e) {
                // A connection that ends is reported by who needs it.
            }
        });
    }

    static void loop(Work work) {
        start(() -> {
            while (true) {
                work.run();
            }
        });
    }

    static int freePort(String ip) throws IOException {
        try (ServerSocket s = new ServerSocket()) {
            s.bind(new InetSocketAddress(ip, 0));
            return s.getLocalPort();
        }
    }

    Store store() {
        return store;
    }

    /** Prepares a router with the settings of a small deployment, on a loopback address of its own. */
    Router router(int number, String storeAddress) throws IOException {
        String ip = "127.0.77." + (10 + number);
        String name = "front-halfway-tree-" + number;
        Router r = new Router(name, ip, freePort(ip), freePort(ip));
        int peers = freePort(ip);
        String settings = """
                {"node":"%s","role":"router","machineClass":"front","serves":["front"],"ip":"%s",
                "zone":"halfway-tree","region":"kgn","zones":{"halfway-tree":"kgn"},
                "listen":{"front":"%s:%d","ready":"%s:%d"},"portRange":[%d,%d],"seeds":[],
                "bootstrap":true,"toleranceMember":false,
                "limits":{"cpuShare":0.57,"cpuCores":1,"memoryMb":280,"maxFds":4100,"linkMbps":1000.0,"diskMb":0},
                "dataDir":null,"discovery":"platform","entry":"virtual_ip","heartbeatMs":1200,
                "contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","quota","platform"],
                "tolerate":{"machines":1,"zones":0,"regions":0},
                "bounds":{"seedLagS":3,"reuseAfterS":2,"contactMs":3000,"ackMs":4000,"catchUpS":4,"drainMs":2000,
                "graceS":8,"lossSlackMs":200,"configApplyMs":2000,"rollbackSlackMs":250,"maxStretchMs":5000,
                "strictRevoke":true,"revokeMs":5000,"budgetRatio":0.2,"budgetWindowS":10,"budgetExtra":58,
                "quotaWindowS":8,"quotaOver":0.1,"quotaSlack":140000,"recoverS":12,"passMs":120,"againS":9.2},
                "platform":{"address":"%s","form":"kv","writesPerS":400,"readsPerS":2000,"historyS":20,
                "valueBytes":1048576,"ttlMinMs":1000}}
                """
                .formatted(name, ip, ip, r.front, ip, r.ready, peers, peers + 15, storeAddress);
        Path file = Files.writeString(directory.resolve(name + ".json"), settings);
        r.log = directory.resolve(name + ".log");
        r.builder = new ProcessBuilder(command())
                .directory(repository.toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(r.log.toFile()));
        Map<String, String> env = r.builder.environment();
        env.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        env.put("ONYXHINGE_CONFIG", file.toString());
        routers.add(r);
        return r;
    }

    /** The words of the deploy file's command. */
    private List<String> command() throws IOException {
        String line = Files.readAllLines(repository.resolve("deploy/system.toml")).stream()
                .filter(l -> l.startsWith("run = "))
                .findFirst()
                .orElseThrow();
        List<String> words = new ArrayList<>(List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'))
                .split(" ")));
        words.set(0, new File(repository.toFile(), words.get(0)).getPath());
        return words;
    }

    /** Lines of a router's log that contain a text. */
    static List<String> logLines(Router r, String text) throws IOException {
        try (var lines = Files.lines(r.log)) {
            return lines.filter(l -> l.contains(text)).collect(Collectors.toList());
        }
    }

    private synchronized void stopAll() {
        for (Router r : routers) {
            if (r.process != null && r.process.isAlive()) {
                r.process.destroyForcibly();
                try {
                    r.process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
    }

    @Override
    public void close() throws IOException {
        stopAll();
        try (var files = Files.list(directory)) {
            for (Path p : files.toList()) {
                Files.delete(p);
            }
        }
        Files.delete(directory);
    }
}
