/** The agent binary's command line (Airline): {@code run}. */
package org.onyxhinge.agent.cli;
