/**
 * The agent: one small process beside each target. It reads its target's load, reports it to every
 * router, holds a lease in the key-value service for its membership and fencing number, and on a
 * planned stop tells routers the target is leaving and waits for work in progress to finish.
 */
package org.onyxhinge.agent;
