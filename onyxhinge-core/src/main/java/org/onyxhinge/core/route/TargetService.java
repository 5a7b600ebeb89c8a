package org.onyxhinge.core.route;

/**
 * A service as configured by its operators.
 *
 * @param name the service
 * @param maxConnections maximum connections that one of its targets accepts from all callers together
 * @param modelEngine whether its targets are model engines, which batch requests
 */
public record TargetService(String name, int maxConnections, boolean modelEngine) {}
