/** Discovery of agents in the key-value service, and the connections to the agents selected for this router. */
package org.onyxhinge.router.peer;
