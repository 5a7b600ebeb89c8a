/**
 * The router: takes callers' HTTP requests on the entry VMs, schedules them over the engines its
 * agents report, dispatches each at most once and streams the whole answer back to its own caller.
 * Control state (configuration, scheduler, peers) lives on one event loop; callers' traffic on others.
 */
package org.onyxhinge.router;
