package org.onyxhinge.router.forward;

/** An entry about a rollout that is to be written to the key-value service. */
public sealed interface RolloutChange {

    /** The service. */
    String service();

    /** Version of the entry that this one replaces; 0 if there is none. */
    long replaces();

    /**
     * The routers' own record.
     *
     * @param service the service
     * @param bytes the record
     * @param replaces version of the record that it replaces
     */
    record Record(String service, byte[] bytes, long replaces) implements RolloutChange {}

    /**
     * The state that operators read.
     *
     * @param service the service
     * @param status the state
     * @param replaces version of the entry that it replaces
     */
    record Status(String service, RolloutStatus status, long replaces) implements RolloutChange {}
}
