package org.onyxhinge.core.quarantine;

/**
 * A target that ended while it ran a request. Each request that it ran is a suspect; which one was at fault shows only
 * when it is in further crashes.
 *
 * @param request the request
 * @param incarnation the start of the target that ended
 * @param atMs when, in ms of this process's monotonic clock
 */
public record Crash(RequestFingerprint request, String incarnation, long atMs) {}
