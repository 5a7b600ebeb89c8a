package org.onyxhinge.runtime;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Level;

import org.jboss.logmanager.ExtHandler;
import org.jboss.logmanager.ExtLogRecord;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

class LogRateLimiterTest {

    private final List<String> written = new ArrayList<>();
    private final AtomicLong nowMs = new AtomicLong();
    private final LogRateLimiter limiter = new LogRateLimiter(
            new ExtHandler() {
                @Override
                protected void doPublish(ExtLogRecord line) {
                    written.add(line.getMessage());
                }
            },
            100,
            10,
            nowMs::get);

    private void write(int lines, Level level) {
        for (int i = 0; i < lines; i++) {
            limiter.publish(new ExtLogRecord(level, "line " + i, "test"));
        }
    }

    @Test
    void linesBeyondTheBurstAreDroppedAndCounted() {
        write(1_000, Level.INFO);
        assertThat(written, hasSize(10));
        assertThat(limiter.dropped(), is(990L));
    }

    @Test
    void linesPassAtTheSustainedRateAndDropsAreReported() {
        write(1_000, Level.INFO);
        written.clear();
        nowMs.addAndGet(50);
        write(1_000, Level.INFO);
        assertThat(written, hasItem("log lines left out count=990"));
        assertThat(written, hasSize(1 + 5));
    }

    @Test
    void warningsAlwaysPass() {
        write(1_000, Level.INFO);
        written.clear();
        write(3, Level.WARNING);
        assertThat(written, hasSize(1 + 3));
    }
}
