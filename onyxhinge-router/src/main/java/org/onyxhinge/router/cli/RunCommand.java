package org.onyxhinge.router.cli;

import java.nio.file.Path;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import org.onyxhinge.router.RouterNode;
import org.onyxhinge.router.RouterSettings;
import org.onyxhinge.runtime.Launch;
import org.onyxhinge.runtime.Logs;
import org.onyxhinge.runtime.Settings;

/** {@code run}: runs a router until SIGTERM, then drains it. */
@Command(name = "run", description = "Run a router with the settings in an INI file")
public final class RunCommand implements Runnable {

    private static final long START_TIMEOUT_MS = 120_000;

    @Option(
            name = {"-c", "--config"},
            title = "FILE",
            description = "router settings (INI), see examples/router.ini")
    @Required
    private String config;

    @Option(name = "--log-level", title = "LEVEL", description = "INFO (default), FINE, WARNING")
    private String logLevel = "INFO";

    @Override
    public void run() {
        var loaded = Settings.load(Path.of(config)).flatMap(RouterSettings::from);
        if (loaded.isLeft()) {
            Launch.fail(Launch.EXIT_SETTINGS, loaded.getLeft().getMessage());
            return;
        }
        RouterSettings s = loaded.get();
        Logs.setUp("router-" + s.routerId(), logLevel);
        RouterNode node;
        try {
            node = Launch.await(RouterNode.start(s), START_TIMEOUT_MS);
        } catch (IllegalStateException e) {
            Launch.fail(Launch.EXIT_FAILURE, "router did not start: " + e.getMessage());
            return;
        }
        Launch.runUntilStopped(node::drain, s.drainTimeoutMs() + 5_000);
    }
}
