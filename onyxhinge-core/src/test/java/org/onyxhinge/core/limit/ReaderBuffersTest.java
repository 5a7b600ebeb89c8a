package org.onyxhinge.core.limit;

import org.junit.jupiter.api.Test;
import org.onyxhinge.core.limit.ReaderBuffers.Cut;
import org.onyxhinge.core.limit.ReaderBuffers.Reason;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

class ReaderBuffersTest {

    private final ReaderBuffers<String> buffers = ReaderBuffers.create(100, 300, 4_000);

    /** Guards against memory above the limit, and against cutting more callers, or smaller ones, than needed. */
    @Test
    void largestIsCutAtOnceAboveTheTotal() {
        buffers.buffered("small", 40, 0);
        buffers.buffered("early", 150, 0);
        buffers.buffered("late", 150, 1);
        assertThat(buffers.cut(1), contains(new Cut<>("early", 150, 1, Reason.TOTAL_LIMIT)));
        assertThat(buffers.bufferedBytes(), is(190L));
        buffers.released("early", 150);
        assertThat(buffers.bufferedBytes(), is(190L));
    }

    /** Guards against cutting a caller that reads a large response, or that goes on reading just in time. */
    @Test
    void callerThatReadsIsNotCut() {
        buffers.buffered("reading", 101, 0);
        assertThat(buffers.cut(3_999), empty());
        buffers.progressed("reading", 3_999);
        assertThat(buffers.cut(7_998), empty());
        assertThat(buffers.cut(7_999), contains(new Cut<>("reading", 101, 4_000, Reason.STALLED)));
    }

    /** Guards against cutting callers that hold little. */
    @Test
    void callerBelowItsLimitIsNotCut() {
        buffers.buffered("idle", 100, 0);
        assertThat(buffers.cut(60_000), empty());
    }
}
