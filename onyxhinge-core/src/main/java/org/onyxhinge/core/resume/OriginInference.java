package org.onyxhinge.core.resume;

import java.util.Optional;

/**
 * What a router concludes about a stream whose origin it does not find on record, from its list of targets. An
 * inference holds as far as the list was read: a version that joined since then may have begun the stream.
 */
public sealed interface OriginInference {

    /** Only this version can have begun the stream. */
    record Inferred(String version) implements OriginInference {}

    /** To be decided again when a read has been answered that was sent after the stream was taken up. */
    record AwaitsRead() implements OriginInference {}

    /**
     * The stream cannot be continued here.
     *
     * @param everywhere whether no other router can know more
     */
    record Unknown(boolean everywhere) implements OriginInference {}

    /**
     * Draws the conclusion.
     *
     * @param soleVersion the only version on the list for as long as a stream lasts; empty if there is none
     * @param allReplied whether all routers that may have the origin on record have replied that they do not
     * @param everywhere whether no other router can know more if this one has several versions on its list
     * @param takenUpAtMs when the stream was taken up, by the clock of the list
     */
    static OriginInference of(
            Optional<String> soleVersion,
            boolean allReplied,
            boolean everywhere,
            ConfirmedList list,
            long takenUpAtMs,
            long nowMs) {
        if (soleVersion.isEmpty()) {
            return new Unknown(everywhere);
        }
        if (list.covers(takenUpAtMs) || allReplied && list.isRecent(nowMs)) {
            return new Inferred(soleVersion.get());
        }
        return list.isRecent(nowMs) ? new AwaitsRead() : new Unknown(false);
    }
}
