package org.onyxhinge.core.quarantine;

/**
 * A target that ended while running a request. The request and every shared part of its prompt are suspects; the one at
 * fault is identified by its presence in further crashes.
 *
 * @param suspect the request or the part
 * @param incarnation the incarnation of the target that ended
 * @param atMs when, in ms of this process's monotonic clock
 */
public record Crash(Fingerprint suspect, String incarnation, long atMs) {}
