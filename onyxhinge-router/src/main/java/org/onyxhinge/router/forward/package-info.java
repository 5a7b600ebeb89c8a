/**
 * Transparent forwarding: calls by host and path to the targets of a service, unchanged, with API keys,
 * quotas, deadlines, retries and streams that go on at another target. What the fields of a call are
 * named on the wire is a {@link org.onyxhinge.router.forward.CallProtocol}'s to know.
 */
package org.onyxhinge.router.forward;
