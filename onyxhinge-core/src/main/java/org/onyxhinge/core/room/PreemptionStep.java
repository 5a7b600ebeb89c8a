package org.onyxhinge.core.room;

/** A message that the {@link PreemptionBroker} requests to be sent. */
public sealed interface PreemptionStep {

    /** The router that the message is sent to. */
    String routerId();

    /**
     * Asks a router to preempt one of its requests on the engine whose tier is below {@code rank}.
     *
     * @param routerId the router asked
     * @param turnId id that its answer must carry
     * @param rank only requests with a higher rank number may be preempted
     */
    record AskRouter(String routerId, long turnId, int rank) implements PreemptionStep {}

    /**
     * Answers the router that requested the preemption.
     *
     * @param routerId the router that asked
     * @param askId the id that it gave
     * @param made true when another router preempted a request
     */
    record Answer(String routerId, long askId, boolean made) implements PreemptionStep {}
}
