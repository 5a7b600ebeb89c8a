package org.onyxhinge.router.forward;

import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.onyxhinge.core.quarantine.Crash;
import org.onyxhinge.core.quarantine.Fingerprint;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

class QuarantineRecordTest {

    private static QuarantineRecord record(long high, String incarnation, long atEpochMs) {
        return new QuarantineRecord(
                List.of(new QuarantineRecord.Entry(new Fingerprint(high, 2), incarnation, atEpochMs)));
    }

    @Property(tries = 100, seed = "33")
    void roundTrips(@ForAll long high, @ForAll String incarnation, @ForAll long atEpochMs) {
        QuarantineRecord record = record(high, incarnation, atEpochMs);
        assertThat(QuarantineRecord.decode(record.encode()).get(), is(record));
    }

    @Property(tries = 100, seed = "35")
    void answersRoundTrip(@ForAll long low, @ForAll long sentAtEpochMs) {
        QuarantineRecord record = new QuarantineRecord(
                record(1, "a", 7).entries(),
                List.of(new QuarantineRecord.Answer(new Fingerprint(1, low), sentAtEpochMs)));
        assertThat(QuarantineRecord.decode(record.encode()).get(), is(record));
    }

    /** Guards against records of routers of the version before that cannot be read. */
    @Test
    void recordsWithoutAnswersAreRead() {
        byte[] withEmptyList = record(1, "a", 7).encode();
        byte[] before = Arrays.copyOf(withEmptyList, withEmptyList.length - 1);
        assertThat(QuarantineRecord.decode(before).get(), is(record(1, "a", 7)));
    }

    @Property(tries = 300, seed = "34")
    void decodesArbitraryBytesSafely(@ForAll byte[] bytes) {
        QuarantineRecord.decode(bytes).peek(r -> assertThat(r.entries().size() <= bytes.length, is(true)));
    }

    @Test
    void futureCrashTimesAreClampedToNow() {
        QuarantineRecord ahead = record(1, "a", System.currentTimeMillis() + 60_000);
        assertThat(ahead.crashes(500).getFirst().atMs(), is(500L));
    }

    /** Guards against comparing each crash with each: a record of the largest size is compared four times a second. */
    @Test
    void largeRecordsAreComparedQuickly() {
        QuarantineRecord large = new QuarantineRecord(IntStream.range(0, 16_384)
                .mapToObj(i -> new QuarantineRecord.Entry(new Fingerprint(1, i), "t" + i, i))
                .toList());
        long fastestNs = Long.MAX_VALUE;
        for (int i = 0; i < 5; i++) {
            long startNs = System.nanoTime();
            assertThat(large.covers(large), is(true));
            fastestNs = Math.min(fastestNs, System.nanoTime() - startNs);
        }
        assertThat(TimeUnit.NANOSECONDS.toMillis(fastestNs), lessThan(100L));
    }

    @Test
    void coversIgnoresCrashTimes() {
        QuarantineRecord one = QuarantineRecord.of(List.of(new Crash(new Fingerprint(1, 2), "a", 0)), 0);
        assertThat(record(1, "a", 7).covers(one), is(true));
        assertThat(record(1, "b", 7).covers(one), is(false));
        assertThat(one.covers(new QuarantineRecord(List.of())), is(true));
    }
}
