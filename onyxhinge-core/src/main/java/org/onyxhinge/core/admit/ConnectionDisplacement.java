package org.onyxhinge.core.admit;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/**
 * Chooses the connection that gives way where there is no room for another one, or no memory for a request. Those that
 * hold most for the least progress go first; a connection whose request progresses never gives way.
 */
public final class ConnectionDisplacement {

    /** Rank of a connection that does not give way. */
    private static final int NEVER = Integer.MAX_VALUE;

    private static final Comparator<ClientConnection> LONGEST_FIRST =
            Comparator.comparingLong(ClientConnection::phaseSinceMs);

    private static final Comparator<ClientConnection> UNSERVED_THEN_LARGEST = Comparator.comparing(
                    ClientConnection::hasServed)
            .thenComparing(
                    Comparator.comparingLong(ClientConnection::weightBytes).reversed());

    private ConnectionDisplacement() {}

    /** Creates an instance, so that what it needs is loaded while there are descriptors to load it with. */
    public static ConnectionDisplacement create() {
        return new ConnectionDisplacement();
    }

    /** The connection to close so that another one can be accepted. */
    public Optional<ClientConnection> forConnection(Collection<ClientConnection> open) {
        return open.stream()
                .filter(c -> rank(c) != NEVER)
                .min(Comparator.comparingInt(this::rank).thenComparing(LONGEST_FIRST));
    }

    private int rank(ClientConnection c) {
        return switch (c.phase()) {
            case ConnectionPhase.Discarding d -> 0;
            case ConnectionPhase.Idle i -> c.hasServed() ? 3 : 1;
            case ConnectionPhase.HeadArriving h -> c.hasServed() ? 2 : 1;
            case ConnectionPhase.BodyArriving b -> c.isStalled() ? 2 : NEVER;
            case ConnectionPhase.UnderWay u -> c.isStalled() ? 4 : NEVER;
        };
    }

    /** The connection whose request or response is given up so that another one can be held in memory. */
    public Optional<ClientConnection> forMemory(Collection<ClientConnection> open) {
        return open.stream()
                .filter(c -> c.weightBytes() > 0)
                .filter(c -> c.phase() instanceof ConnectionPhase.HeadArriving || isStalledMessage(c))
                .min(UNSERVED_THEN_LARGEST);
    }

    /** The connection whose body or response is given up because it does not progress. */
    public Optional<ClientConnection> stalled(Collection<ClientConnection> open) {
        return open.stream().filter(ConnectionDisplacement::isStalledMessage).min(UNSERVED_THEN_LARGEST);
    }

    private static boolean isStalledMessage(ClientConnection c) {
        return switch (c.phase()) {
            case ConnectionPhase.BodyArriving b -> c.isStalled();
            case ConnectionPhase.UnderWay u -> c.isStalled();
            case ConnectionPhase.Idle i -> false;
            case ConnectionPhase.HeadArriving h -> false;
            case ConnectionPhase.Discarding d -> false;
        };
    }
}
