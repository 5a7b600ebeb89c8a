package org.onyxhinge.core.quarantine;

/**
 * A target that ended while running a request. Every request that it ran is a suspect; the one at fault is identified
 * by its presence in further crashes.
 *
 * @param request the request
 * @param incarnation the incarnation of the target that ended
 * @param atMs when, in ms of this process's monotonic clock
 */
public record Crash(Fingerprint request, String incarnation, long atMs) {}
