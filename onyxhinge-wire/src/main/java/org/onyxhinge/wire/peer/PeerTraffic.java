package org.onyxhinge.wire.peer;

/** Counts of frames and bytes sent and received on the peer connections of a process. Confined to one thread. */
public final class PeerTraffic {

    private long framesIn;
    private long bytesIn;
    private long framesOut;
    private long bytesOut;

    void received(int bytes) {
        framesIn++;
        bytesIn += bytes;
    }

    void sent(int bytes) {
        framesOut++;
        bytesOut += bytes;
    }

    /** Frames received. */
    public long framesIn() {
        return framesIn;
    }

    /** Bytes received, including frame headers. */
    public long bytesIn() {
        return bytesIn;
    }

    /** Frames sent. */
    public long framesOut() {
        return framesOut;
    }

    /** Bytes sent, including frame headers. */
    public long bytesOut() {
        return bytesOut;
    }
}
