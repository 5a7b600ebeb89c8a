package org.onyxhinge.core.place;

/**
 * What one router has running on a target, as it tells its peers.
 *
 * @param calls its calls there
 * @param prefillTokens prompt tokens of those that have not had their first event
 */
public record TargetUse(int calls, long prefillTokens) {}
