package org.onyxhinge.router.cli;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.util.JsonFormat;
import io.vertx.core.Vertx;
import org.onyxhinge.router.admin.AdminClient;
import org.onyxhinge.runtime.Launch;

/** {@code admin show}: prints the configuration in force and the version of each object. */
@Command(name = "show", description = "Print the configuration in force")
public final class AdminShowCommand implements Runnable {

    private static final long TIMEOUT_MS = 10_000;

    @Option(
            name = "--admin",
            title = "HOST:PORT",
            description = "address of a router's admin port (default 127.0.0.1:8081)")
    private String admin = "127.0.0.1:8081";

    @Override
    public void run() {
        AdminAddress address = AdminAddress.parse(admin);
        Vertx vertx = Vertx.vertx();
        try (AdminClient client = AdminClient.create(vertx, address.host(), address.port())) {
            System.out.println(JsonFormat.printer().print(Launch.await(client.show(), TIMEOUT_MS)));
        } catch (IllegalStateException | InvalidProtocolBufferException e) {
            Launch.fail(Launch.EXIT_FAILURE, "show failed: " + e.getMessage());
        } finally {
            vertx.close();
        }
    }
}
