package org.onyxhinge.router.forward;

import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.onyxhinge.core.route.EdgeLimits;
import org.onyxhinge.core.route.ForwardingConfig;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class ConfigInForceTest {

    private final Freshness freshness = Freshness.within(5_000);
    private final ConfigInForce config = new ConfigInForce(freshness);

    private static ForwardingConfig version(long version) {
        return ForwardingConfig.of(version, new EdgeLimits(1, 1, 1, 1), List.of(), List.of(), List.of());
    }

    @Nested
    class Keys {

        @Test
        void areNotBelievedBeforeTheStoreHasConfirmedThem() {
            config.confirmed(freshness.stampMs());
            assertThat(config.keysBelieved(), is(false));
            config.replace(version(1));
            assertThat(config.keysBelieved(), is(false));
            config.confirmed(freshness.stampMs());
            assertThat(config.keysBelieved(), is(true));
        }

        @Test
        void areNotBelievedAfterAnOldProof() {
            config.replace(version(1));
            config.confirmed(freshness.stampMs() - 3_600);
            assertThat(config.keysBelieved(), is(false));
        }

        @Test
        void areBelievedWithoutAProofWhereNoLimitIsSet() {
            ConfigInForce unlimited = new ConfigInForce(Freshness.within(0));
            unlimited.replace(version(1));
            assertThat(unlimited.keysBelieved(), is(true));
        }

        @Test
        void areStillBelievedByTheLastProofWhenANewerConfigurationComes() {
            config.replace(version(1));
            config.confirmed(freshness.stampMs());
            config.replace(version(2));
            assertThat(config.keysBelieved(), is(true));
            assertThat(config.version(), is(2L));
        }
    }

    @Nested
    class Proof {

        private static final long VERSIONS = 2_000;

        /** Guards against a configuration that is read together with the confirmation of a newer one. */
        @Test
        void isNeverOfANewerConfigurationThanTheOneItIsReadWith() {
            config.replace(version(0));
            // Version and time count alike, so a configuration's confirmation is never above its version.
            Thread reader = new Thread(() -> {
                for (long v = 1; v <= VERSIONS; v++) {
                    config.replace(version(v));
                    config.confirmed(v);
                }
            });
            reader.start();
            ConfirmedConfig seen = config.current().orElseThrow();
            while (seen.config().version() < VERSIONS) {
                assertThat(
                        seen.confirmedAtMs(), is(lessThanOrEqualTo(seen.config().version())));
                seen = config.current().orElseThrow();
            }
        }

        @Test
        void doesNotGrowOlderWithALateAnswer() {
            config.replace(version(1));
            config.confirmed(freshness.stampMs());
            config.confirmed(freshness.stampMs() - 60_000);
            assertThat(config.keysBelieved(), is(true));
        }
    }
}
