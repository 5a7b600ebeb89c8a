package org.onyxhinge.core.limit;

/**
 * State of a workspace's quota at one router.
 *
 * @param used units counted as used in the window
 * @param limit units that this router may let the workspace use in the window
 * @param level units in the token bucket
 * @param heardPart fraction of the routers that this router receives updates from
 */
public record QuotaState(long used, long limit, long level, double heardPart) {}
