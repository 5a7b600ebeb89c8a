package org.onyxhinge.router.forward;

import java.util.Optional;

/**
 * What the router says of a call to the target it sends it to.
 *
 * @param targetId the target that is meant; another one at its address must not run it
 * @param deadlineLeftMs how long the caller will still wait
 * @param workspace the caller's workspace; empty on keyless routes
 * @param lastEventId the last event the caller has; the answer goes on after it
 */
public record OutgoingCall(
        String targetId, long deadlineLeftMs, Optional<String> workspace, Optional<String> lastEventId) {}
