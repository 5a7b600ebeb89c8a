package org.onyxhinge.wire.peer;

/** Frames and bytes one process has sent and received on its peer connections; one thread owns it. */
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

    /** Bytes received, frame headers included. */
    public long bytesIn() {
        return bytesIn;
    }

    /** Frames sent. */
    public long framesOut() {
        return framesOut;
    }

    /** Bytes sent, frame headers included. */
    public long bytesOut() {
        return bytesOut;
    }
}
