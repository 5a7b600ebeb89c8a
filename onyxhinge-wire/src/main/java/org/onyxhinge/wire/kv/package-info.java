/**
 * The protocol of the key-value service and a client for it. The service stores versioned keys with
 * compare-and-swap, leases that expire unless they are renewed, and watches on prefixes that replay
 * the changes after a given revision. The project's stand-in implements the same protocol.
 */
package org.onyxhinge.wire.kv;
