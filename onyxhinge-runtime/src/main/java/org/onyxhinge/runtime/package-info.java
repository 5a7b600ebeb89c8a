/**
 * Process plumbing shared by the router, the agent and the stand-ins: INI settings checked at start,
 * key=value logging through JBoss LogManager, Dropwizard metrics with HdrHistogram latencies, and the
 * state dump every process serves on request.
 */
package org.onyxhinge.runtime;
