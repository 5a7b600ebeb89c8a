package org.onyxhinge.core.route;

/**
 * What callers may send and how long they may take.
 *
 * @param maxHeaderBytes largest head of a request
 * @param maxBodyBytes largest body
 * @param headerTimeoutMs longest time for a head to arrive
 * @param idleTimeoutMs time a connection may stay idle
 */
public record EdgeLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {}
