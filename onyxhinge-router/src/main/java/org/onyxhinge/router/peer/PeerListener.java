package org.onyxhinge.router.peer;

import org.onyxhinge.wire.peer.PeerMessage;

/** Hears what agents send. Called on the router's control context. */
public interface PeerListener {

    /** An agent introduced its engine. */
    void hello(PeerMessage.Hello hello);

    /** An agent reported its engine's load. */
    void load(PeerMessage.Load load);

    /** An agent said its engine is leaving. */
    void bye(PeerMessage.Bye bye);
}
