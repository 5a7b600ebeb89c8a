package org.onyxhinge.router.cli;

import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicLong;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.vavr.control.Either;
import org.jboss.logging.Logger;
import org.onyxhinge.router.forward.file.ForwardingFile;
import org.onyxhinge.router.forward.file.ForwardingNode;
import org.onyxhinge.router.forward.file.ForwardingSetup;
import org.onyxhinge.runtime.Launch;
import org.onyxhinge.runtime.Logs;
import org.onyxhinge.runtime.Settings;
import org.onyxhinge.runtime.SettingsException;
import sun.misc.Signal;

/** {@code forward}: forwards calls by host and path as configured in an INI file; SIGHUP reloads the file. */
@Command(name = "forward", description = "Forward calls by host and path as configured in an INI file")
public final class ForwardCommand implements Runnable {

    private static final Logger LOG = Logger.getLogger(ForwardCommand.class);
    private static final long START_TIMEOUT_MS = 30_000;
    private static final long DRAIN_MARGIN_MS = 5_000;

    @Option(
            name = {"-c", "--config"},
            title = "FILE",
            description = "routes, services, workspaces and targets (INI), see examples/forward.ini")
    @Required
    private String config;

    @Option(name = "--check", description = "Only validate the file")
    private boolean check;

    @Option(name = "--log-level", title = "LEVEL", description = "INFO (default), FINE, WARNING")
    private String logLevel = "INFO";

    private final AtomicLong lastVersion = new AtomicLong();

    @Override
    public void run() {
        Either<SettingsException, ForwardingSetup> loaded = load();
        if (loaded.isLeft()) {
            Launch.fail(Launch.EXIT_SETTINGS, loaded.getLeft().getMessage());
            return;
        }
        ForwardingSetup setup = loaded.get();
        if (check) {
            System.out.printf(
                    "%s: %d routes, %d targets%n",
                    config, setup.config().routes().size(), setup.targets().size());
            return;
        }
        Logs.setUp("router-" + setup.settings().routerId(), logLevel);
        try {
            ForwardingNode node = Launch.await(ForwardingNode.start(setup), START_TIMEOUT_MS);
            Signal.handle(new Signal("HUP"), s -> reload(node));
            Launch.runUntilStopped(node::drain, setup.settings().graceMs() + DRAIN_MARGIN_MS);
        } catch (IllegalStateException e) {
            Launch.fail(Launch.EXIT_FAILURE, "router did not start: " + e.getMessage());
        }
    }

    private Either<SettingsException, ForwardingSetup> load() {
        return Settings.load(Path.of(config)).flatMap(s -> ForwardingFile.read(s, lastVersion.incrementAndGet()));
    }

    private void reload(ForwardingNode node) {
        load().peek(setup -> {
                    node.apply(setup);
                    LOG.infof("file read again version=%d", setup.config().version());
                })
                .peekLeft(e -> LOG.errorf(
                        "file not read again, the previous configuration stays in force: %s", e.getMessage()));
    }
}
