package org.onyxhinge.core.route;

/**
 * A service as its operators configured it.
 *
 * @param name the service
 * @param maxConnections most connections one of its targets accepts from all callers together
 * @param modelEngine whether its targets are model engines, which batch requests
 */
public record TargetService(String name, int maxConnections, boolean modelEngine) {}
