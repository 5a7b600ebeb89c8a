package org.onyxhinge.router.forward;

/**
 * What a forwarding router needs to know at its start.
 *
 * @param routerId unique id of this router
 * @param dataCentre data centre it runs in
 * @param host address callers reach it at
 * @param port port callers reach it at
 * @param peerHost address other routers reach it at
 * @param peerPort port other routers reach it at
 * @param retryRatio share of a service's requests that may be sent to a further target
 * @param retryAllowance further sends allowed beside the ratio in a window, over all routers
 * @param retryWindowMs the window of both
 * @param keyProofMs how long an API key is believed after the store last confirmed the configuration; 0
 *     for no limit
 * @param quotaWindowMs window in which a workspace may use its rate times the window plus its burst
 * @param quotaToleranceRatio part of that which operators tolerate beyond it
 * @param quotaToleranceUnits units which they tolerate beside that part
 * @param graceMs time from the order to stop until the process is killed
 */
public record ForwardingSettings(
        String routerId,
        String dataCentre,
        String host,
        int port,
        String peerHost,
        int peerPort,
        double retryRatio,
        double retryAllowance,
        long retryWindowMs,
        long keyProofMs,
        long quotaWindowMs,
        double quotaToleranceRatio,
        long quotaToleranceUnits,
        long graceMs) {}
