package org.onyxhinge.wire;

import org.jboss.logging.Logger;

/**
 * The turns of something that keeps itself going. An error of one turn is logged and counted; it never leaves the turn,
 * so that what follows it, such as the timer of the next turn, is done in any case. Confined to one thread.
 */
public final class Loop {

    private static final Logger LOG = Logger.getLogger(Loop.class);

    private final String name;
    private long failures;

    private Loop(String name) {
        this.name = name;
    }

    /** Creates a loop without turns. */
    public static Loop named(String name) {
        return new Loop(name);
    }

    /** Runs a turn, or a part of one that does not depend on the others; false if it has failed. */
    public boolean turn(Runnable body) {
        try {
            body.run();
            return true;
        } catch (RuntimeException | Error e) {
            failures++;
            LOG.errorf(e, "loop turn failed loop=\"%s\" failures=%d", name, failures);
            return false;
        }
    }
}
