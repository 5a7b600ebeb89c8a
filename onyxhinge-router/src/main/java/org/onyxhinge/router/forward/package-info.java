/**
 * Transparent forwarding: routes calls unchanged, by host and path, to the targets of a service, with API keys, quotas,
 * deadlines, retries, and streams that continue at another target. The wire names of a call's fields are defined by a
 * {@link org.onyxhinge.router.forward.CallProtocol}.
 */
package org.onyxhinge.router.forward;
