package org.onyxhinge.wire.peer;

import java.util.List;

import org.onyxhinge.core.schedule.EngineInfo;
import org.onyxhinge.core.schedule.LoadReport;

/** What agents and routers send each other over a peer connection. */
public sealed interface PeerMessage {

    /**
     * The agent's first message on a connection: who it is and what its engine can do.
     *
     * @param agentId the agent
     * @param engine the engine beside it
     * @param fencingToken the agent's current fencing number, from its lease
     */
    record Hello(String agentId, EngineInfo engine, long fencingToken) implements PeerMessage {}

    /**
     * A load report; sent every report interval and at once when draining starts.
     *
     * @param engineId the engine
     * @param running sequences running on it
     * @param waiting sequences in its own queue
     * @param cachedPrefixes prefix hashes cached since the last report
     * @param draining true once the target is leaving
     * @param sentAtMs the agent's wall clock when sent, for staleness figures only
     */
    record Load(String engineId, int running, int waiting, List<Long> cachedPrefixes, boolean draining, long sentAtMs)
            implements PeerMessage {

        /** Copies the list. */
        public Load {
            cachedPrefixes = List.copyOf(cachedPrefixes);
        }

        /** The core's view of this report. */
        public LoadReport toReport() {
            return new LoadReport(engineId, running, waiting, cachedPrefixes, draining);
        }
    }

    /**
     * The agent is going away on purpose; its engine takes no new work.
     *
     * @param engineId the engine
     */
    record Bye(String engineId) implements PeerMessage {}
}
