package org.onyxhinge.core.share;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Max-min fair shares of the slots of one service between the workspaces of a rank. The resource is target time: the
 * time in ms that calls hold slots. Use by this router and its peers within the last seconds decides which workspaces
 * are above their share; their calls yield to those of the others, and no slot is left idle.
 *
 * <p>Not thread-safe. Times are milliseconds of one monotonic clock.
 */
public final class WorkspaceShares {

    /** Time constant of the decay: long compared with a call, below the 10 s within which shares must be fair. */
    private static final double TIME_CONSTANT_MS = 8_000;

    /**
     * Part of the used time that is within the shares; use beyond the level at which this part is reached is above the
     * share. One workspace can exceed its share by the rest of all use.
     */
    private static final double FAIR_FRACTION = 0.99;

    private final DecayingUse<Key> own = new DecayingUse<>(TIME_CONSTANT_MS);
    private final DecayingUse<Key> total = new DecayingUse<>(TIME_CONSTANT_MS);
    private final Map<String, DecayingUse<Key>> peers = new HashMap<>();
    /** Largest share by rank; empty after a change. Decay does not change which workspaces are above it. */
    private final Map<Integer, Double> levels = new HashMap<>();

    private record Key(int rank, String workspace) {}

    /**
     * Recent use of a service by a workspace.
     *
     * @param rank rank of the calls
     * @param usedMs target time
     */
    public record Use(int rank, String workspace, long usedMs) {}

    /**
     * Records target time of this router's calls.
     *
     * @param ms expected time of a call that is sent, or the difference from it when the call has ended
     */
    public void used(int rank, String workspace, double ms, long nowMs) {
        Key key = new Key(rank, workspace);
        total.decay(nowMs);
        own.add(key, ms, nowMs);
        total.add(key, ms, nowMs);
        levels.clear();
    }

    /** Replaces the use reported by a peer. */
    public void peerUsed(String peer, List<Use> uses, long nowMs) {
        peerGone(peer);
        if (!uses.isEmpty()) {
            DecayingUse<Key> reported = new DecayingUse<>(TIME_CONSTANT_MS);
            uses.forEach(u -> reported.add(new Key(u.rank(), u.workspace()), u.usedMs(), nowMs));
            total.decay(nowMs);
            total.addAll(reported, 1);
            peers.put(peer, reported);
            levels.clear();
        }
    }

    /** Removes the use reported by a peer. */
    public void peerGone(String peer) {
        DecayingUse<Key> before = peers.remove(peer);
        if (before != null) {
            total.addAll(before, -1);
            levels.clear();
        }
    }

    /** Whether a workspace has used more than its share of the time of the calls with a rank. */
    public boolean isAboveShare(int rank, String workspace) {
        return total.usedMs(new Key(rank, workspace)) > levels.computeIfAbsent(rank, this::level);
    }

    /** Use by this router's calls, for its peers. */
    public List<Use> ownUse(long nowMs) {
        return list(own, nowMs);
    }

    /** Use by the calls of all routers, as far as known. */
    public List<Use> totalUse(long nowMs) {
        return list(total, nowMs);
    }

    /** The use of each workspace, if bounded by this level, adds up to the fair part of all use. */
    private double level(int rank) {
        List<Double> used = new ArrayList<>();
        total.forEach((key, ms) -> {
            if (key.rank() == rank && ms > 0) {
                used.add(ms);
            }
        });
        if (used.size() < 2) {
            return Double.MAX_VALUE;
        }
        double[] ascending = used.stream().mapToDouble(ms -> ms).sorted().toArray();
        double left = FAIR_FRACTION * Arrays.stream(ascending).sum();
        for (int i = 0; i < ascending.length; i++) {
            int sharing = ascending.length - i;
            if (ascending[i] * sharing >= left) {
                return left / sharing;
            }
            left -= ascending[i];
        }
        return Double.MAX_VALUE;
    }

    private static List<Use> list(DecayingUse<Key> use, long nowMs) {
        use.decay(nowMs);
        List<Use> out = new ArrayList<>();
        use.forEach((key, ms) -> {
            if (Math.round(ms) > 0) {
                out.add(new Use(key.rank(), key.workspace(), Math.round(ms)));
            }
        });
        return out;
    }
}
