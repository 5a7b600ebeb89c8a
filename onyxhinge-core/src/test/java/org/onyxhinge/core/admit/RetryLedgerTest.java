package org.onyxhinge.core.admit;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class RetryLedgerTest {

    private static final long NOW_MS = 10_000;
    private static final int ROUTERS = 25;

    private final RetryLedger ledger = RetryLedger.create(1);

    /** Promises a retry within 300 to 2,300 ms. */
    private long next(RetryLedger from, double roomPerSecond) {
        long atMs = from.retryAtMs("s", roomPerSecond, 1, NOW_MS + 300, NOW_MS + 2_300, NOW_MS);
        from.promised("s", atMs, NOW_MS);
        return atMs;
    }

    @Nested
    class Room {

        /** Guards against a caller that returns later than it must, or before there is room. */
        @Test
        void earliestTimeSlotWithRoomIsPromised() {
            for (int i = 0; i < 50; i++) {
                long slot = (next(ledger, 50) - NOW_MS) / RetryLedger.SLOT_MS;
                assertThat(slot, is(3L + i / 5));
            }
        }

        /** Guards against a promise that the caller does not honour, or that comes too soon. */
        @Test
        void withoutRoomTheTimeStaysWithinReach() {
            for (int i = 0; i < 200; i++) {
                assertThat(
                        next(ledger, 0), allOf(greaterThanOrEqualTo(NOW_MS + 300), lessThanOrEqualTo(NOW_MS + 2_300)));
            }
        }
    }

    @Nested
    class Peers {

        /** Guards against retries that come when the callers of other routers do. */
        @Test
        void timeSlotsThatPeersHavePromisedAreAvoided() {
            for (int i = 0; i < 30; i++) {
                ledger.toldByPeer(NOW_MS + 350, NOW_MS);
            }
            assertThat(next(ledger, 50), greaterThanOrEqualTo(NOW_MS + 400));
            assertThat(ledger.peerPromises(NOW_MS), is(30));
            assertThat(ledger.ownPromises(NOW_MS).get("s"), is(1));
        }

        /** Guards against a router that takes the room of all routers while it does not hear them. */
        @Test
        void withoutPeersARouterUsesItsPartOfTheRoom() {
            long lastMs = 0;
            for (int i = 0; i < 20; i++) {
                lastMs = ledger.retryAtMs("s", 250, ROUTERS, NOW_MS, NOW_MS + 4_000, NOW_MS);
                ledger.promised("s", lastMs, NOW_MS);
            }
            assertThat(lastMs, allOf(greaterThan(NOW_MS + 1_800), lessThan(NOW_MS + 2_300)));
        }

        /** Guards against a router that has lost its ledger and promises the slots that others have promised. */
        @Test
        void restartedRouterLearnsFromTheNextRefusalsOfItsPeers() {
            next(ledger, 50);
            RetryLedger restarted = RetryLedger.create(1);
            assertThat(restarted.ownPromises(NOW_MS).size(), is(0));
            for (int i = 0; i < 30; i++) {
                restarted.toldByPeer(NOW_MS + 350, NOW_MS);
            }
            assertThat(next(restarted, 50), greaterThanOrEqualTo(NOW_MS + 400));
        }
    }
}
