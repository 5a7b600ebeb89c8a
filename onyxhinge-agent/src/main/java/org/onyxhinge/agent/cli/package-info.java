/** Command line of the agent binary, based on Airline: {@code run}. */
package org.onyxhinge.agent.cli;
