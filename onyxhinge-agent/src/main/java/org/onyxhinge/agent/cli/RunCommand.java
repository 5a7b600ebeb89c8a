package org.onyxhinge.agent.cli;

import java.nio.file.Path;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import org.onyxhinge.agent.AgentNode;
import org.onyxhinge.agent.AgentSettings;
import org.onyxhinge.runtime.Launch;
import org.onyxhinge.runtime.Logs;
import org.onyxhinge.runtime.Settings;

/** {@code run}: runs an agent until SIGTERM, then drains its target. */
@Command(name = "run", description = "Run an agent with the settings in an INI file")
public final class RunCommand implements Runnable {

    private static final long START_TIMEOUT_MS = 60_000;

    @Option(
            name = {"-c", "--config"},
            title = "FILE",
            description = "agent settings (INI), see examples/agent.ini")
    @Required
    private String config;

    @Option(name = "--log-level", title = "LEVEL", description = "INFO (default), FINE, WARNING")
    private String logLevel = "INFO";

    @Override
    public void run() {
        var loaded = Settings.load(Path.of(config)).flatMap(AgentSettings::from);
        if (loaded.isLeft()) {
            Launch.fail(Launch.EXIT_SETTINGS, loaded.getLeft().getMessage());
            return;
        }
        AgentSettings s = loaded.get();
        Logs.setUp("agent-" + s.agentId(), logLevel);
        AgentNode node;
        try {
            node = Launch.await(AgentNode.start(s), START_TIMEOUT_MS);
        } catch (IllegalStateException e) {
            Launch.fail(Launch.EXIT_FAILURE, "agent did not start: " + e.getMessage());
            return;
        }
        Launch.runUntilStopped(node::drain, s.drainTimeoutMs() + 5_000);
    }
}
