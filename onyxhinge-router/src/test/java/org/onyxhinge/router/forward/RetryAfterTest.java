package org.onyxhinge.router.forward;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class RetryAfterTest {

    @Test
    void secondsAreRead() {
        assertThat(RetryAfter.parseMs("3"), is(3_000L));
        assertThat(RetryAfter.parseMs(" 0.25 "), is(250L));
        assertThat(RetryAfter.parseMs("0"), is(0L));
    }

    /** Guards against a fraction of a millisecond that ends a pause too early. */
    @Test
    void fractionsAreRoundedUp() {
        assertThat(RetryAfter.parseMs("0.0001"), is(1L));
    }

    @Test
    void longDelaysAreCut() {
        assertThat(RetryAfter.parseMs("1e300"), is(3_600_000L));
        assertThat(RetryAfter.parseMs("Infinity"), is(3_600_000L));
    }

    @Test
    void absentOrUnreadableDelayIsNone() {
        for (String text : new String[] {null, "", "soon", "-1", "NaN", "Wed, 21 Oct 2026 07:28:00 GMT"}) {
            assertThat(text, RetryAfter.parseMs(text), is(0L));
        }
    }
}
