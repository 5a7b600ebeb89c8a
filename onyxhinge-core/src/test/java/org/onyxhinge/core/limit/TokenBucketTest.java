package org.onyxhinge.core.limit;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class TokenBucketTest {

    @Test
    void startsEmptyAndRefillsUpToItsCapacity() {
        TokenBucket bucket = TokenBucket.startingEmpty(2, 3, 1_000);
        assertThat(bucket.tokens(1_000), is(0));
        assertThat(bucket.tokens(1_499), is(0));
        assertThat(bucket.tokens(1_500), is(1));
        assertThat(bucket.tokens(60_000), is(3));
    }

    @Test
    void deficitIsRefilledFirst() {
        TokenBucket bucket = TokenBucket.startingEmpty(2, 1, 0);
        bucket.take(0);
        assertThat(bucket.tokens(500), is(0));
        assertThat(bucket.tokens(1_000), is(1));
        bucket.take(1_000);
        assertThat(bucket.tokens(1_000), is(0));
    }
}
