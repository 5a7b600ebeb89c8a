package org.onyxhinge.router.forward;

import java.util.Set;

import io.vertx.core.MultiMap;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

class HopHeadersTest {

    @Test
    void dropsHopByHopHeadersAndThoseListedInConnection() {
        MultiMap from = MultiMap.caseInsensitiveMultiMap()
                .add("Connection", "close, X-Private")
                .add("X-Private", "1")
                .add("Keep-Alive", "timeout=5")
                .add("Transfer-Encoding", "chunked")
                .add("Content-Length", "4")
                .add("Accept", "a")
                .add("Accept", "b")
                .add("Dropped", "x");
        MultiMap to = MultiMap.caseInsensitiveMultiMap();
        HopHeaders.copy(from, to, Set.of("dropped"));
        assertThat(to.names(), contains("Accept"));
        assertThat(to.getAll("Accept"), contains("a", "b"));
    }

    @Nested
    class IdleTime {

        @Test
        void isTargetTimeoutMinusMargin() {
            assertThat(TargetConnections.idleMs("timeout=5, max=100"), is(4_600L));
            assertThat(TargetConnections.idleMs("max=100, Timeout = 2"), is(1_600L));
        }

        @Test
        void hasDefaultWhenTargetNamesNone() {
            assertThat(TargetConnections.idleMs(null), is(500L));
            assertThat(TargetConnections.idleMs("timeout=soon"), is(500L));
        }
    }
}
