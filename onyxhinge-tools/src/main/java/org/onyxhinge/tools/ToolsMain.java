package org.onyxhinge.tools;

import com.github.rvesse.airline.annotations.Cli;
import com.github.rvesse.airline.annotations.Group;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;
import org.onyxhinge.runtime.HelpOption;
import org.onyxhinge.runtime.Launch;
import org.onyxhinge.tools.capacity.DecisionsCommand;
import org.onyxhinge.tools.capacity.FootprintCommand;
import org.onyxhinge.tools.demo.DemoCommand;
import org.onyxhinge.tools.experiment.CompareCommand;
import org.onyxhinge.tools.fleet.SimulateCommand;
import org.onyxhinge.tools.standin.EngineCommand;
import org.onyxhinge.tools.standin.KvCommand;
import org.onyxhinge.tools.standin.ServiceCommand;
import org.onyxhinge.tools.standin.VmListCommand;

/** Command-line entry point of the tools: stand-ins, demo and load. Run with {@code --help} for the commands. */
@Cli(
        name = "onyxhinge-tools",
        description = "onyxhinge tools: platform stand-ins, the embedded demo, the load tool",
        defaultCommand = Help.class,
        commands = {Help.class, DemoCommand.class},
        groups = {
            @Group(
                    name = "load",
                    description = "Load and experiment tool",
                    commands = {CompareCommand.class, SimulateCommand.class}),
            @Group(
                    name = "capacity",
                    description = "Measure the figures that docs/CAPACITY.md is based on",
                    commands = {DecisionsCommand.class, FootprintCommand.class}),
            @Group(
                    name = "standin",
                    description = "Run a platform stand-in as a separate process",
                    commands = {KvCommand.class, EngineCommand.class, ServiceCommand.class, VmListCommand.class})
        })
public final class ToolsMain {

    private ToolsMain() {}

    public static void main(String[] args) {
        com.github.rvesse.airline.Cli<Runnable> cli = new com.github.rvesse.airline.Cli<>(ToolsMain.class);
        Runnable command;
        try {
            command = cli.parse(HelpOption.apply(args));
        } catch (ParseException e) {
            Launch.fail(Launch.EXIT_USAGE, e.getMessage() + " (see onyxhinge-tools help)");
            return;
        }
        command.run();
    }
}
