package org.onyxhinge.runtime.server;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.jboss.logging.Logger;

/** How many file descriptors this process may open. */
final class Descriptors {

    /** The limit where the operating system names none, as by default on Linux. */
    private static final long DEFAULT_LIMIT = 1_024;

    private static final Path LIMITS = Path.of("/proc/self/limits");
    private static final String LINE = "Max open files";
    private static final Logger LOG = Logger.getLogger(Descriptors.class);

    private Descriptors() {}

    static long limit() {
        try {
            for (String line : Files.readAllLines(LIMITS)) {
                if (line.startsWith(LINE)) {
                    return parse(line.substring(LINE.length()).trim().split("\\s+")[0]);
                }
            }
            LOG.warnf("descriptor limit not found file=%s assumed=%d", LIMITS, DEFAULT_LIMIT);
        } catch (IOException | NumberFormatException e) {
            LOG.warnf("descriptor limit not read file=%s assumed=%d error=%s", LIMITS, DEFAULT_LIMIT, e);
        }
        return DEFAULT_LIMIT;
    }

    private static long parse(String limit) {
        return limit.equals("unlimited") ? Long.MAX_VALUE : Long.parseLong(limit);
    }
}
