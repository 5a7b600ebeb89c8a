package org.onyxhinge.core.admit;

/**
 * A refused request whose caller may retry.
 *
 * @param key identifies what was requested, whatever id the attempt had
 * @param firstArrivalMs when the caller's first attempt arrived
 * @param deadlineMs when the caller stops waiting
 * @param retryAtMs when the caller was told to retry
 */
public record Refusal(int key, long firstArrivalMs, long deadlineMs, long retryAtMs) {}
