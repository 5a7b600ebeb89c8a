package org.onyxhinge.runtime;

import java.util.Arrays;
import java.util.stream.Stream;

/** The option {@code --help} of every command and group of commands: it stands for the command {@code help}. */
public final class HelpOption {

    private static final String OPTION = "--help";
    private static final String COMMAND = "help";

    private HelpOption() {}

    /**
     * Returns the arguments of a process without the option. If it was among them, they ask for help on the command
     * whose names precede it.
     */
    public static String[] apply(String... args) {
        int option = Arrays.asList(args).indexOf(OPTION);
        if (option < 0) {
            return args;
        }
        Stream<String> names = Arrays.stream(args, 0, option).takeWhile(a -> !a.startsWith("-"));
        return Stream.concat(Stream.of(COMMAND), names).toArray(String[]::new);
    }
}
