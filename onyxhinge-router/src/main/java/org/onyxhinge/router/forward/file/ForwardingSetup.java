package org.onyxhinge.router.forward.file;

import java.util.List;
import java.util.Map;

import org.onyxhinge.core.place.Target;
import org.onyxhinge.core.rollout.RolloutOrder;
import org.onyxhinge.core.route.ForwardingConfig;
import org.onyxhinge.router.forward.ForwardingSettings;
import org.onyxhinge.runtime.HostPort;

/**
 * The contents of a forwarding router's file.
 *
 * @param settings startup settings
 * @param status address of the status endpoints
 * @param config routes, services, workspaces and limits
 * @param targets targets of the services
 * @param routers the other routers, by id
 * @param rollouts orders to move services to other versions
 */
public record ForwardingSetup(
        ForwardingSettings settings,
        HostPort status,
        ForwardingConfig config,
        List<Target> targets,
        Map<String, Router> routers,
        List<RolloutOrder> rollouts) {

    /**
     * Another router.
     *
     * @param address HOST:PORT
     * @param dataCentre its data centre; empty if not given
     */
    record Router(String address, String dataCentre) {}
}
