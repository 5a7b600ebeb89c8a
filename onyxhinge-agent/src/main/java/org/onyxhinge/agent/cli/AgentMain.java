package org.onyxhinge.agent.cli;

import com.github.rvesse.airline.annotations.Cli;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;
import org.onyxhinge.runtime.HelpOption;
import org.onyxhinge.runtime.Launch;

/** Main class of the agent binary; {@code help} lists the commands. */
@Cli(
        name = "onyxhinge-agent",
        description =
                "onyxhinge agent: reports the load of its target to routers and drains the target on a planned stop",
        defaultCommand = Help.class,
        commands = {Help.class, RunCommand.class})
public final class AgentMain {

    private AgentMain() {}

    /** Parses the command line and runs the command. */
    public static void main(String[] args) {
        com.github.rvesse.airline.Cli<Runnable> cli = new com.github.rvesse.airline.Cli<>(AgentMain.class);
        Runnable command;
        try {
            command = cli.parse(HelpOption.apply(args));
        } catch (ParseException e) {
            Launch.fail(Launch.EXIT_USAGE, e.getMessage() + " (see onyxhinge-agent help)");
            return;
        }
        command.run();
    }
}
