package org.onyxhinge.tools.fleet;

/**
 * A workspace's share of the load.
 *
 * @param name its name
 * @param share its share of the requests, relative to the shares of the other workspaces
 * @param rank its priority, which takes precedence over the priority of a route
 */
record WorkspaceShare(String name, double share, int rank) {}
