package org.onyxhinge.router.peer;

import org.onyxhinge.wire.peer.PeerMessage;

/** Receives the messages that agents send. Called on the router's control context. */
public interface AgentMessageListener {

    /** Handles a message from the agent of engine {@code engineId}. */
    void messageReceived(String engineId, PeerMessage.ToRouter message);
}
