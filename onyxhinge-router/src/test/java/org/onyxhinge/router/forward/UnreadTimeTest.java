package org.onyxhinge.router.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.vertx.core.buffer.Buffer;
import org.junit.jupiter.api.Test;
import org.onyxhinge.core.place.Placement;
import org.onyxhinge.core.place.PlacementSettings;
import org.onyxhinge.core.place.Target;
import org.onyxhinge.core.place.TargetState;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.lessThan;

/** Time in which the router does not read a stream because its caller reads slowly. */
class UnreadTimeTest {

    private static final long UNREAD_MS = 300;
    private static final int EVENT_MS = 10;
    private static final int READS = 8;

    /** Guards against a target that seems slow because its caller is. */
    @Test
    void isNoGapOfTheTarget() throws InterruptedException {
        Placement placement = Placement.create("r1", "here", PlacementSettings.defaults(), (peer, target) -> {});
        placement.targetSeen(new Target("t1", 0, "writers", "", "127.0.0.1", 80, "here", 1, true, 0));
        TargetState target = placement.targets().iterator().next();
        StreamProgress stream = new StreamProgress();
        stream.streamStarted();
        stream.feed(Buffer.buffer("data: 1\n\n"), target);
        TimeUnit.MILLISECONDS.sleep(UNREAD_MS);
        stream.readingResumed();
        stream.feed(Buffer.buffer("data: 2\n\n"), target);
        assertThat(stream.longestGapMs(), lessThan(UNREAD_MS));
    }

    /** Guards against the rollback of a version because a caller of its targets reads slowly. */
    @Test
    void isNoSlownessOfVersionOnTrial() {
        RolloutObserver.Usual usual = RolloutObserver.Usual.create();
        for (int i = 0; i < 100; i++) {
            usual.pace().sample(EVENT_MS);
        }
        List<Boolean> judgedBad = new ArrayList<>();
        RolloutObserver observer = new RolloutObserver(usual, true, 0, judgedBad::add);
        observer.streamBytes(0);
        observer.notRead(UNREAD_MS * READS);
        for (int i = 1; i < READS; i++) {
            observer.streamBytes(UNREAD_MS * READS + i * EVENT_MS);
        }
        assertThat(judgedBad, contains(false));
    }
}
