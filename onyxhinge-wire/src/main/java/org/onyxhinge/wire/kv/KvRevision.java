package org.onyxhinge.wire.kv;

/**
 * Revisions that keep rising when the key-value service is restored from a copy. After a restore such a service gives
 * out the lost revisions again, for other contents. The epoch counts the restores and takes precedence over the
 * service's own revision.
 */
public final class KvRevision {

    private static final int EPOCH_SHIFT = 40;
    private static final long MAX_REVISION = (1L << EPOCH_SHIFT) - 1;
    private static final long MAX_EPOCH = (1L << (Long.SIZE - 1 - EPOCH_SHIFT)) - 1;

    private KvRevision() {}

    /**
     * Combines an epoch with a revision.
     *
     * @param epoch number of restores; 0 for a service that is never restored
     * @param revision the service's own revision
     * @throws IllegalArgumentException if one of them is out of range
     */
    public static long of(long epoch, long revision) {
        if (epoch < 0 || epoch > MAX_EPOCH || revision < 0 || revision > MAX_REVISION) {
            throw new IllegalArgumentException("revision out of range: epoch " + epoch + ", revision " + revision);
        }
        return epoch << EPOCH_SHIFT | revision;
    }

    /** The epoch of a combined revision. */
    public static long epoch(long combined) {
        return combined >>> EPOCH_SHIFT;
    }

    /** The service's own revision of a combined one. */
    public static long withinEpoch(long combined) {
        return combined & MAX_REVISION;
    }
}
