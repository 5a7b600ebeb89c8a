package org.onyxhinge.core.route;

/**
 * Size and time limits for callers' requests.
 *
 * @param maxHeaderBytes maximum size of a request head
 * @param maxBodyBytes maximum size of a body
 * @param headerTimeoutMs maximum time for a request head to arrive
 * @param idleTimeoutMs maximum idle time of a connection
 */
public record EdgeLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {}
