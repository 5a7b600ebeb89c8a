/**
 * The router accepts callers' HTTP requests on the entry VMs, schedules them on the engines whose agents
 * report to it, sends each request to a target at most once and streams the response to the caller. The
 * control state (configuration, scheduler, agent connections) belongs to one event loop; callers' traffic
 * is served by other event loops.
 */
package org.onyxhinge.router;
