package org.onyxhinge.runtime;

import java.util.logging.Level;

import org.jboss.logmanager.LogContext;
import org.jboss.logmanager.formatters.PatternFormatter;
import org.jboss.logmanager.handlers.AsyncHandler;
import org.jboss.logmanager.handlers.ConsoleHandler;

/**
 * Configures JBoss LogManager to write one line per event to standard output, as
 * {@code event key=value ...}, readable by people and by parsers. A separate thread writes the lines. If
 * the consumer of the output blocks it, lines beyond the queue are dropped, so that logging never blocks
 * the caller.
 */
public final class Logs {

    private static final String PATTERN_HEAD = "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} level=%p logger=%c{1} process=";
    private static final String PATTERN_TAIL = " %s%e%n";

    /** About ten seconds of log output of a busy router. */
    private static final int QUEUE_CAPACITY = 2_048;

    /** Twice the rate of a router at the users' peak load, when it refuses 200 calls per second. */
    private static final double LINES_PER_SECOND = 400;

    /** Sufficient for a start, or for a simultaneous change of many routes and targets. */
    private static final double BURST_LINES = 1_500;

    private static final long NS_PER_MS = 1_000_000;

    private static volatile LogRateLimiter rateLimiter;

    private Logs() {}

    /** Number of lines that the rate limit has dropped since the start. */
    public static long droppedLines() {
        LogRateLimiter current = rateLimiter;
        return current == null ? 0 : current.dropped();
    }

    /** Installs the log manager and the console handler; must be called first in {@code main}. */
    public static void setUp(String process, String level) {
        System.setProperty("java.util.logging.manager", "org.jboss.logmanager.LogManager");
        org.jboss.logmanager.Logger root = LogContext.getLogContext().getLogger("");
        for (java.util.logging.Handler h : root.getHandlers()) {
            root.removeHandler(h);
        }
        ConsoleHandler console = new ConsoleHandler(
                ConsoleHandler.Target.SYSTEM_OUT, new PatternFormatter(PATTERN_HEAD + process + PATTERN_TAIL));
        AsyncHandler queue = new AsyncHandler(QUEUE_CAPACITY);
        queue.setOverflowAction(AsyncHandler.OverflowAction.DISCARD);
        queue.addHandler(console);
        rateLimiter = new LogRateLimiter(queue, LINES_PER_SECOND, BURST_LINES, () -> System.nanoTime() / NS_PER_MS);
        root.addHandler(rateLimiter);
        root.setLevel(Level.parse(level));
        LogContext.getLogContext().getLogger("io.netty").setLevel(Level.WARNING);
    }
}
