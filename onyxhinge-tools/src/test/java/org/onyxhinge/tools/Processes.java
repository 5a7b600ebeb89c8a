package org.onyxhinge.tools;

import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Starts onyxhinge's processes as separate JVMs for tests, signals them, and kills them at the end. */
final class Processes implements AutoCloseable {

    private static final long START_MS = 60_000;

    private final Map<String, Process> started = new LinkedHashMap<>();
    private final Path logs;

    Processes(Path logs) {
        this.logs = logs;
    }

    Process java(String name, Class<?> main, String... args) throws IOException {
        List<String> cmd = new ArrayList<>();
        cmd.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        cmd.add("-Xmx256m");
        cmd.add("-Donyxhinge.invariants=true");
        cmd.add("-cp");
        cmd.add(System.getProperty("java.class.path"));
        cmd.add(main.getName());
        cmd.addAll(List.of(args));
        File log = logs.resolve(name + ".log").toFile();
        Process p = new ProcessBuilder(cmd)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
                .start();
        started.put(name, p);
        return p;
    }

    static void awaitPort(int port) throws InterruptedException {
        long until = System.currentTimeMillis() + START_MS;
        while (System.currentTimeMillis() < until) {
            try (Socket s = new Socket()) {
                s.connect(new InetSocketAddress("127.0.0.1", port), 200);
                return;
            } catch (IOException e) {
                Thread.sleep(50);
            }
        }
        throw new IllegalStateException("nothing listens on port " + port);
    }

    boolean alive(String name) {
        return started.containsKey(name) && started.get(name).isAlive();
    }

    Process get(String name) {
        return started.get(name);
    }

    /** Sends a signal by name, for example STOP. */
    void signal(String name, String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, "" + started.get(name).pid())
                .start()
                .waitFor();
    }

    @Override
    public void close() throws InterruptedException {
        for (Process p : started.values()) {
            p.destroyForcibly();
        }
        for (Process p : started.values()) {
            p.waitFor();
        }
    }
}
