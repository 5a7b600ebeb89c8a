package org.onyxhinge.core.place;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.onyxhinge.core.share.WorkspaceShares;

/**
 * State of this router's calls that is reported to one peer, and whether the peer belongs to this router's group and is
 * notified at once.
 *
 * @param uses this router's calls on targets that concern the peer, by target incarnation
 * @param waiting number of calls queued here for targets shared with the peer, by service and {@link Precedence}
 * @param rates call rates of those services as seen by this router
 * @param workspaceUse target time used by the workspaces' calls here, by service; empty if it is not shared
 * @param borrowed targets in {@code uses} that belong to the peer's group and not to this router's
 */
public record PeerUpdate(
        boolean sameGroup,
        Map<String, TargetUse> uses,
        Map<String, Map<Integer, Integer>> waiting,
        Map<String, ServiceRates> rates,
        Map<String, List<WorkspaceShares.Use>> workspaceUse,
        Set<String> borrowed) {

    /** This router's calls on targets that belong to the peer's group. */
    Map<String, TargetUse> borrowedUses() {
        Map<String, TargetUse> out = new HashMap<>(uses);
        out.keySet().retainAll(borrowed);
        return out;
    }

    /** Returns an empty update, for a peer that has not been sent any. */
    public static PeerUpdate none() {
        return new PeerUpdate(true, Map.of(), Map.of(), Map.of(), Map.of(), Set.of());
    }
}
