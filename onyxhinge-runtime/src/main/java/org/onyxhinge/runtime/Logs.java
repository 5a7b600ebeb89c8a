package org.onyxhinge.runtime;

import java.util.logging.Level;

import org.jboss.logmanager.LogContext;
import org.jboss.logmanager.formatters.PatternFormatter;
import org.jboss.logmanager.handlers.AsyncHandler;
import org.jboss.logmanager.handlers.ConsoleHandler;

/**
 * Sets up JBoss LogManager to write one key=value line per event to standard output. Messages are
 * written as {@code event key=value ...}, so lines can be read by people and split by machines. A thread of
 * its own writes them; when a reader of the output holds that up, lines beyond the queue are dropped, so
 * that nobody who logs ever waits.
 */
public final class Logs {

    private static final String PATTERN_HEAD = "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} level=%p logger=%c{1} process=";
    private static final String PATTERN_TAIL = " %s%e%n";

    /** About ten seconds of a busy router's lines. */
    private static final int QUEUED_LINES = 2_048;

    private Logs() {}

    /** Installs the log manager and the console handler; call first thing in {@code main}. */
    public static void setUp(String process, String level) {
        System.setProperty("java.util.logging.manager", "org.jboss.logmanager.LogManager");
        org.jboss.logmanager.Logger root = LogContext.getLogContext().getLogger("");
        for (java.util.logging.Handler h : root.getHandlers()) {
            root.removeHandler(h);
        }
        ConsoleHandler console = new ConsoleHandler(
                ConsoleHandler.Target.SYSTEM_OUT, new PatternFormatter(PATTERN_HEAD + process + PATTERN_TAIL));
        AsyncHandler queue = new AsyncHandler(QUEUED_LINES);
        queue.setOverflowAction(AsyncHandler.OverflowAction.DISCARD);
        queue.addHandler(console);
        root.addHandler(queue);
        root.setLevel(Level.parse(level));
        LogContext.getLogContext().getLogger("io.netty").setLevel(Level.WARNING);
    }
}
