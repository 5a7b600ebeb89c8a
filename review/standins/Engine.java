import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.Semaphore;

/** Stand-in of an engine: it registers, answers its report and health, and runs requests in its slots. */
final class Engine {

    /** What the engine does with a request that it runs. */
    interface Behaviour {

        /** Answers; a connection is kept open if this returns true. */
        boolean run(Http.Message request, Socket socket, OutputStream out) throws Exception;
    }

    final String id;
    final String service;
    private final ServerSocket server;
    private final Semaphore slots;
    private final int slotCount;
    private final String zone;
    private final Store store;
    private final Behaviour behaviour;
    private volatile String state = "ready";
    private int seq;

    Engine(Store store, String id, String service, int slotCount, Behaviour behaviour) throws IOException {
        this(store, id, service, slotCount, "halfway-tree", behaviour);
    }

    Engine(Store store, String id, String service, int slotCount, String zone, Behaviour behaviour) throws IOException {
        this.zone = zone;
        this.store = store;
        this.id = id;
        this.service = service;
        this.slotCount = slotCount;
        this.slots = new Semaphore(slotCount, true);
        this.behaviour = behaviour;
        this.server = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
        World.loop(() -> {
            Socket s = server.accept();
            World.start(() -> serve(s));
        });
        World.loop(() -> {
            register();
            Thread.sleep(1_200);
        });
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    private void register() {
        store.put(
                "servers/" + id,
                "{\"service\":\"" + service + "\",\"address\":\"" + address()
                        + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"slots\":" + slotCount + ",\"state\":\""
                        + state + "\",\"coldLeftMs\":0,\"seq\":" + (++seq) + "}");
    }

    private void serve(Socket s) throws Exception {
        try (s) {
            s.setTcpNoDelay(true);
            InputStream in = Http.buffered(s.getInputStream());
            OutputStream out = s.getOutputStream();
            for (Http.Message m = Http.read(in, false); m != null; m = Http.read(in, false)) {
                String expected = m.header("X-Expect-Instance");
                if (m.words()[1].equals("/health")) {
                    answer(out, 200, Map.of("X-Instance-Id", id), "");
                    continue;
                }
                if (expected != null && !expected.equals(id)) {
                    answer(out, 421, Map.of("X-Instance-Id", id, "X-Not-Executed", "1"), "");
                    continue;
                }
                slots.acquire();
                try {
                    if (!behaviour.run(m, s, out)) {
                        return;
                    }
                } finally {
                    slots.release();
                }
            }
        }
    }

    /** Writes a complete answer. */
    static void answer(OutputStream out, int status, Map<String, String> headers, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " X\r\nKeep-Alive: timeout=5\r\nContent-Length: "
                + bytes.length + "\r\n");
        headers.forEach((k, v) -> head.append(k).append(": ").append(v).append("\r\n"));
        out.write(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
        out.write(bytes);
        out.flush();
    }
}
