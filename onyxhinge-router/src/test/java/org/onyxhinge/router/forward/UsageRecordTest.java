package org.onyxhinge.router.forward;

import java.util.Map;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class UsageRecordTest {

    @Property(tries = 100, seed = "31")
    void roundTrips(@ForAll long asOfMs, @ForAll Map<String, Long> units) {
        UsageRecord record = new UsageRecord(asOfMs, units);
        assertThat(UsageRecord.decode(record.encode()).get(), is(record));
    }

    @Property(tries = 300, seed = "32")
    void decodesArbitraryBytesSafely(@ForAll byte[] bytes) {
        UsageRecord.decode(bytes).peek(r -> assertThat(r.unitsByWorkspace().size() <= bytes.length, is(true)));
    }
}
