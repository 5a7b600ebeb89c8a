package org.onyxhinge.router.forward;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.onyxhinge.core.route.CallKind;
import org.onyxhinge.core.route.EdgeLimits;
import org.onyxhinge.core.route.ForwardingConfig;
import org.onyxhinge.core.route.QuotaUnit;
import org.onyxhinge.core.route.Route;
import org.onyxhinge.core.route.ServiceShare;
import org.onyxhinge.core.route.TargetService;
import org.onyxhinge.core.route.WorkspaceAccess;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class WorkspaceQuotasTest {

    private static final long WINDOW_MS = 8_000;

    /** After the first window, in which usage before the start is unknown. */
    private static final long NOW_MS = 2 * WINDOW_MS;

    private final WorkspaceQuotas quotas = new WorkspaceQuotas(
            new ForwardingSettings(
                    "r1",
                    "here",
                    "",
                    0,
                    "",
                    0,
                    0,
                    0,
                    0,
                    0,
                    WINDOW_MS,
                    0,
                    0,
                    RolloutFixtures.SETTINGS,
                    0,
                    0,
                    0,
                    ForwardingSettings.heapBytes(ForwardingSettings.DEFAULT_BODY_MEMORY_PERCENT),
                    ContentionSettings.none()),
            0);

    /** A call checked against a configuration that allows its workspace {@code perSecond} calls per second. */
    private static CallPlan call(long version, double perSecond) {
        WorkspaceAccess workspace = new WorkspaceAccess(
                "agency", Set.of("k1"), OptionalInt.empty(), QuotaUnit.REQUESTS, 0, perSecond, perSecond);
        Route route = new Route(
                "print",
                "letters.example",
                "/print/",
                CallKind.IDEMPOTENT,
                false,
                false,
                0,
                1_000,
                1_000,
                0,
                1,
                List.of(new ServiceShare("mailroom", 1)));
        ForwardingConfig config = ForwardingConfig.of(
                version,
                new EdgeLimits(1_000, 1_000, 1_000, 1_000),
                List.of(route),
                List.of(new TargetService("mailroom", 1, false)),
                List.of(workspace));
        CallHead head = new CallHead(
                "c", Optional.of("k1"), 1_000, Optional.empty(), Optional.empty(), 0, 0, 0, PromptParts.none());
        return CallPlan.of(new CallCheck.Allowed(head, config, route, Optional.of(workspace)), NOW_MS, 0, 0);
    }

    /** Number of calls out of 1000 that are allowed. */
    private int allowed(CallPlan call, long nowMs) {
        int allowed = 0;
        for (int i = 0; i < 1_000; i++) {
            allowed += quotas.take(call, nowMs).isEmpty() ? 1 : 0;
        }
        return allowed;
    }

    /** Guards against an older configuration's limit being restored by a call that waited while a newer one arrived. */
    @Test
    void olderConfigurationDoesNotRestoreItsLimit() {
        int mostInWindow = 10 * (int) (WINDOW_MS / 1_000) + 10;
        int allowed = allowed(call(2, 10), NOW_MS) + allowed(call(1, 1_000), NOW_MS + 1_000);
        assertThat(allowed, is(lessThanOrEqualTo(mostInWindow)));
        assertThat(allowed(call(3, 1_000), NOW_MS + 2_000), is(greaterThan(mostInWindow)));
    }
}
