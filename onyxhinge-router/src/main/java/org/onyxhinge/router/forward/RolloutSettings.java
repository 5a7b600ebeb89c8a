package org.onyxhinge.router.forward;

import org.onyxhinge.core.rollout.RolloutLimits;

/**
 * Startup settings of rollouts.
 *
 * @param limits operators' limits on the calls that a version on trial may get
 * @param recorded whether steps are recorded in a key-value service before they apply; otherwise the routers only tell
 *     each other
 */
public record RolloutSettings(RolloutLimits limits, boolean recorded) {}
