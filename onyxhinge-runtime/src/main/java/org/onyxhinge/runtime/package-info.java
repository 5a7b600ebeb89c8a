/**
 * Infrastructure shared by the router, the agent and the stand-ins: INI settings validated at start,
 * key=value logging with JBoss LogManager, Dropwizard metrics with HdrHistogram latencies, and the status
 * endpoints, which include the state dump.
 */
package org.onyxhinge.runtime;
