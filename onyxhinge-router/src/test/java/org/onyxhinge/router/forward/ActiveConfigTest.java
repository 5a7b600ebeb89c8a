package org.onyxhinge.router.forward;

import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.onyxhinge.core.route.EdgeLimits;
import org.onyxhinge.core.route.ForwardingConfig;
import org.onyxhinge.wire.kv.KvMirror;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class ActiveConfigTest {

    private final ConfigFreshness freshness = ConfigFreshness.within(5_000);
    private final ActiveConfig config = new ActiveConfig(freshness);

    private static ForwardingConfig version(long version) {
        return ForwardingConfig.of(version, new EdgeLimits(1, 1, 1, 1), List.of(), List.of(), List.of());
    }

    @Nested
    class Keys {

        @Test
        void areNotTrustedBeforeFirstConfirmation() {
            config.confirmed(freshness.stampMs());
            assertThat(config.keysTrusted(), is(false));
            config.replace(version(1));
            assertThat(config.keysTrusted(), is(false));
            config.confirmed(freshness.stampMs());
            assertThat(config.keysTrusted(), is(true));
        }

        @Test
        void areNotTrustedAfterConfirmationExpires() {
            config.replace(version(1));
            config.confirmed(freshness.stampMs() - 3_600);
            assertThat(config.keysTrusted(), is(false));
        }

        @Test
        void areTrustedWithoutConfirmationWhenUnlimited() {
            ActiveConfig unlimited = new ActiveConfig(ConfigFreshness.within(0));
            unlimited.replace(version(1));
            assertThat(unlimited.keysTrusted(), is(true));
        }

        @Test
        void stayTrustedWhenConfigurationIsReplaced() {
            config.replace(version(1));
            config.confirmed(freshness.stampMs());
            config.replace(version(2));
            assertThat(config.keysTrusted(), is(true));
            assertThat(config.version(), is(2L));
        }
    }

    @Nested
    class Confirmation {

        private static final long VERSIONS = 2_000;

        /** Guards against reading a configuration together with the confirmation of a newer one. */
        @Test
        void isNeverNewerThanTheConfigurationReadWithIt() {
            config.replace(version(0));
            // Versions and times increase together, so a configuration's confirmation time never exceeds its version.
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

        /** Guards against a restored store that confirms a configuration although it has lost a newer one. */
        @Test
        void isNotTakenFromAStoreThatWasJustRestored() {
            config.replace(version(1));
            long stampMs = freshness.stampMs();
            config.storeRestored();
            config.confirmed(stampMs + KvMirror.REWRITE_MS - 1);
            assertThat(config.keysTrusted(), is(false));
            config.confirmed(stampMs + 2 * KvMirror.REWRITE_MS);
            assertThat(config.keysTrusted(), is(true));
        }

        @Test
        void isNotMovedBackByALateResponse() {
            config.replace(version(1));
            config.confirmed(freshness.stampMs());
            config.confirmed(freshness.stampMs() - 60_000);
            assertThat(config.keysTrusted(), is(true));
        }
    }
}
