/**
 * The agent, a process that runs alongside each target. It polls the load of the target and reports it to
 * the routers that subscribed, registers in the key-value service under a lease, forwards orders to the
 * target after checking their fencing tokens, and relays preemption requests between routers. On a planned
 * stop it tells the routers that the target is leaving and waits for requests in progress.
 */
package org.onyxhinge.agent;
