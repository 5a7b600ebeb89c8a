package org.onyxhinge.core.share;

import java.util.Map;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/** A second in which most calls of rank 1000 are refused while rank 1002 is below its minimum share. */
class ShortCallSharesTest {

    private static final long NOW_MS = 20_000;

    private final ShortCallShares shares = refusingRank1000();

    private static ShortCallShares refusingRank1000() {
        ShortCallShares shares = ShortCallShares.create();
        IntStream.range(0, 100).forEach(i -> {
            shares.sent(0, true, false, NOW_MS - 5_000);
            shares.sent(1000, true, false, NOW_MS - 5_000);
        });
        IntStream.range(0, 104).forEach(i -> shares.refused(1000, NOW_MS));
        IntStream.range(0, 5).forEach(i -> shares.sent(1000, true, false, NOW_MS));
        return shares;
    }

    /** Guards against 64 less urgent calls that were sent in a second in which 104 calls of rank 1000 were refused. */
    @Test
    void promotedCallGoesBehindQueuedCallsOfARefusedRank() {
        assertThat(shares.turn(1002, r -> r == 1002, r -> r == 1000, NOW_MS).rank(), is(1000));
        assertThat(shares.turn(1002, r -> r == 1002, r -> false, NOW_MS).rank(), is(0));
        assertThat(
                shares.turn(1002, r -> r == 1002, r -> r == 1000, NOW_MS + 2_000)
                        .rank(),
                is(0));
    }

    /** Guards against a rank that starves behind another one that is below its minimum share too. */
    @Test
    void queuedCallsOfARankBelowItsMinimumArePromotedToo() {
        ShortCallShares.Turn turn = shares.turn(1002, r -> r >= 1000, r -> r == 1000, NOW_MS);
        assertThat(turn, is(new ShortCallShares.Turn(0, false, Map.of(1000, 0))));
    }

    /** Guards against a router that has lost its counts deciding otherwise than by the minimum share. */
    @Test
    void withoutCountsTheMinimumShareDecides() {
        ShortCallShares restarted = ShortCallShares.create();
        restarted.sent(0, true, false, NOW_MS);
        assertThat(restarted.turn(2, r -> false, r -> false, NOW_MS).rank(), is(2));
        assertThat(restarted.turn(2, r -> true, r -> false, NOW_MS).rank(), is(0));
    }

    /** Guards against promoted calls that are not short after all and take more than a tenth of the slot time. */
    @Test
    void callsThatUseUpTheirPartOfTheSlotTimeAreNotPromoted() {
        ShortCallShares fresh = ShortCallShares.create();
        fresh.ended(0, 1_000);
        fresh.ended(2, 100);
        IntStream.range(0, 100).forEach(i -> fresh.sent(0, true, false, NOW_MS));
        fresh.refused(2, NOW_MS);
        assertThat(fresh.turn(2, r -> false, r -> false, NOW_MS).isShortCall(), is(true));
        IntStream.range(0, 120).forEach(i -> fresh.sent(2, false, true, NOW_MS));
        assertThat(fresh.turn(2, r -> false, r -> false, NOW_MS).isShortCall(), is(false));
    }
}
