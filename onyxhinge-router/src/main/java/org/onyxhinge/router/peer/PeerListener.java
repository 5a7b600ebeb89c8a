package org.onyxhinge.router.peer;

import org.onyxhinge.wire.peer.PeerMessage;

/** Hears what agents send. Called on the router's control context. */
public interface PeerListener {

    /** A message from the agent of {@code engineId}. */
    void received(String engineId, PeerMessage.ToRouter message);
}
