package org.onyxhinge.router.cli;

import java.nio.file.Path;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.vertx.core.Vertx;
import org.onyxhinge.router.admin.AdminClient;
import org.onyxhinge.router.admin.SetupFile;
import org.onyxhinge.runtime.Launch;
import org.onyxhinge.runtime.Settings;

/** {@code admin apply}: writes the tiers, workspaces, services and pools of a setup file. */
@Command(name = "apply", description = "Apply a setup file (INI) of tiers, workspaces, services and pools")
public final class AdminApplyCommand implements Runnable {

    private static final long TIMEOUT_MS = 30_000;

    @Option(
            name = "--admin",
            title = "HOST:PORT",
            description = "address of a router's admin port (default 127.0.0.1:8081)")
    private String admin = "127.0.0.1:8081";

    @Option(
            name = {"-f", "--file"},
            title = "FILE",
            description = "setup file, see examples/postvirki/setup.ini")
    @Required
    private String file;

    @Override
    public void run() {
        var objects = Settings.load(Path.of(file)).flatMap(SetupFile::read);
        if (objects.isLeft()) {
            Launch.fail(Launch.EXIT_SETTINGS, objects.getLeft().getMessage());
            return;
        }
        AdminAddress address = AdminAddress.parse(admin);
        Vertx vertx = Vertx.vertx();
        try (AdminClient client = AdminClient.create(vertx, address.host(), address.port())) {
            var replies = Launch.await(client.apply(objects.get()), TIMEOUT_MS);
            System.out.println("applied " + replies.size() + " objects; revision "
                    + (replies.isEmpty() ? 0 : replies.get(replies.size() - 1).getRevision()));
        } catch (IllegalStateException e) {
            Launch.fail(Launch.EXIT_FAILURE, "apply failed: " + e.getMessage());
        } finally {
            vertx.close();
        }
    }
}
