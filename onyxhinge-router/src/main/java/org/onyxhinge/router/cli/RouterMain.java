package org.onyxhinge.router.cli;

import com.github.rvesse.airline.annotations.Cli;
import com.github.rvesse.airline.annotations.Group;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;
import org.onyxhinge.runtime.HelpOption;
import org.onyxhinge.runtime.Launch;

/** Main class of the router binary; {@code help} lists the commands. */
@Cli(
        name = "onyxhinge-router",
        description = "onyxhinge router: schedules callers' requests across heterogeneous engines",
        defaultCommand = Help.class,
        commands = {Help.class, RunCommand.class, ForwardCommand.class, DumpCommand.class},
        groups = {
            @Group(
                    name = "admin",
                    description = "Configure and operate routers through a router's gRPC admin port",
                    commands = {AdminApplyCommand.class, AdminShowCommand.class, AdminOrderCommand.class})
        })
public final class RouterMain {

    private RouterMain() {}

    /** Parses the command line and runs the command. */
    public static void main(String[] args) {
        com.github.rvesse.airline.Cli<Runnable> cli = new com.github.rvesse.airline.Cli<>(RouterMain.class);
        Runnable command;
        try {
            command = cli.parse(HelpOption.apply(args));
        } catch (ParseException e) {
            Launch.fail(Launch.EXIT_USAGE, e.getMessage() + " (see onyxhinge-router help)");
            return;
        }
        command.run();
    }
}
