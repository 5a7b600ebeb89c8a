/** Connections to targets: their pool, and which of the responses on them reaches a call. */
package org.onyxhinge.router.connection;
