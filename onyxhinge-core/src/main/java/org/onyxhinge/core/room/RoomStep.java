package org.onyxhinge.core.room;

/** What the {@link RoomBroker} wants sent. */
public sealed interface RoomStep {

    /** The router it goes to. */
    String routerId();

    /**
     * Ask a router to stop one of its requests on the engine of a tier below {@code rank}.
     *
     * @param routerId the router asked
     * @param turnId id its answer must carry
     * @param rank only tiers of a higher rank number may be stopped
     */
    record AskRouter(String routerId, long turnId, int rank) implements RoomStep {}

    /**
     * Answer the router that wants room.
     *
     * @param routerId the router that asked
     * @param askId the id it gave
     * @param made true when another router stopped a request
     */
    record Answer(String routerId, long askId, boolean made) implements RoomStep {}
}
