/**
 * The key-value service's protocol as onyxhinge speaks it, and a client for it. The service keeps
 * versioned keys with compare-and-swap, leases that expire unless kept alive, and watches on prefixes
 * that replay changes after a given revision. The project's stand-in serves the same protocol.
 */
package org.onyxhinge.wire.kv;
