package org.onyxhinge.core.route;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * One accepted version of routes, services, workspaces and limits. Immutable: a call reads one version through one
 * reference, so a change takes effect atomically.
 */
public final class ForwardingConfig {

    private final long version;
    private final EdgeLimits limits;
    private final List<Route> routes;
    private final Map<String, List<Route>> routesByHost = new HashMap<>();
    private final Map<String, TargetService> services = new HashMap<>();
    private final Map<String, WorkspaceAccess> workspaceByKey = new HashMap<>();
    private final Map<String, WorkspaceAccess> workspaces = new HashMap<>();

    private ForwardingConfig(long version, EdgeLimits limits, List<Route> routes) {
        this.version = version;
        this.limits = limits;
        this.routes = List.copyOf(routes);
    }

    /** Builds a version; throws {@link IllegalArgumentException} when a route refers to an unknown service. */
    public static ForwardingConfig of(
            long version,
            EdgeLimits limits,
            List<Route> routes,
            List<TargetService> services,
            List<WorkspaceAccess> workspaces) {
        ForwardingConfig config = new ForwardingConfig(version, limits, routes);
        services.forEach(s -> config.services.put(s.name(), s));
        for (WorkspaceAccess w : workspaces) {
            config.workspaces.put(w.name(), w);
            w.apiKeys().forEach(k -> config.workspaceByKey.put(k, w));
        }
        for (Route route : routes) {
            config.checkServices(route);
            config.routesByHost
                    .computeIfAbsent(route.host(), h -> new ArrayList<>())
                    .add(route);
        }
        Comparator<Route> longestFirst =
                Comparator.comparingInt((Route r) -> r.pathPrefix().length()).reversed();
        config.routesByHost.values().forEach(list -> list.sort(longestFirst));
        return config;
    }

    private void checkServices(Route route) {
        for (ServiceShare share : route.shares()) {
            if (!services.containsKey(share.service())) {
                throw new IllegalArgumentException(
                        "route " + route.name() + " leads to unknown service " + share.service());
            }
        }
    }

    /** The version number assigned by the operators. */
    public long version() {
        return version;
    }

    /** Limits for callers' requests. */
    public EdgeLimits limits() {
        return limits;
    }

    /** All routes. */
    public List<Route> routes() {
        return routes;
    }

    /** Names of all routes. */
    public Set<String> routeNames() {
        return routes.stream().map(Route::name).collect(Collectors.toUnmodifiableSet());
    }

    /** Names of all workspaces. */
    public Set<String> workspaceNames() {
        return Set.copyOf(workspaces.keySet());
    }

    /** Names of all services. */
    public Set<String> serviceNames() {
        return Set.copyOf(services.keySet());
    }

    /**
     * The route of a call: among the host's routes, the one with the longest matching path prefix.
     *
     * @param host host named by the caller, with or without port
     * @param path path without query
     */
    public Optional<Route> match(String host, String path) {
        List<Route> candidates = routesByHost.getOrDefault(hostName(host), List.of());
        for (Route route : candidates) {
            if (path.startsWith(route.pathPrefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    private static String hostName(String host) {
        int colon = host.lastIndexOf(':');
        boolean port = colon > 0 && host.indexOf(']', colon) < 0;
        return (port ? host.substring(0, colon) : host).toLowerCase(Locale.ROOT);
    }

    /** The workspace that an API key belongs to. */
    public Optional<WorkspaceAccess> workspaceOfKey(String key) {
        return Optional.ofNullable(workspaceByKey.get(key));
    }

    /** The workspace with this name. */
    public Optional<WorkspaceAccess> workspace(String name) {
        return Optional.ofNullable(workspaces.get(name));
    }

    /** All workspaces. */
    public Collection<WorkspaceAccess> workspaces() {
        return workspaces.values();
    }

    /** The service with this name. */
    public Optional<TargetService> service(String name) {
        return Optional.ofNullable(services.get(name));
    }
}
