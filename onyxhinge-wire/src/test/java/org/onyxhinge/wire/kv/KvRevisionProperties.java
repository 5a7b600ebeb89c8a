package org.onyxhinge.wire.kv;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

class KvRevisionProperties {

    private static final long MAX_EPOCH = (1L << 23) - 1;
    private static final long MAX_REVISION = (1L << 40) - 1;

    @Property(seed = "41")
    void partsAreKept(
            @ForAll @LongRange(max = MAX_EPOCH) long epoch, @ForAll @LongRange(max = MAX_REVISION) long revision) {
        long combined = KvRevision.of(epoch, revision);
        assertThat(KvRevision.epoch(combined), is(epoch));
        assertThat(KvRevision.withinEpoch(combined), is(revision));
    }

    /** Guards against a revision of a restored service that counts as older than one from before. */
    @Property(seed = "42")
    void laterEpochPrecedesAnyRevision(
            @ForAll @LongRange(max = MAX_EPOCH - 1) long epoch,
            @ForAll @LongRange(max = MAX_REVISION) long before,
            @ForAll @LongRange(max = MAX_REVISION) long after) {
        assertThat(KvRevision.of(epoch + 1, after), is(greaterThan(KvRevision.of(epoch, before))));
    }

    @Property(seed = "43")
    void serviceThatIsNeverRestoredKeepsItsRevisions(@ForAll @LongRange(max = MAX_REVISION) long revision) {
        assertThat(KvRevision.of(0, revision), is(revision));
    }
}
