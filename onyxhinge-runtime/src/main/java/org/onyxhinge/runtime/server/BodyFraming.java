package org.onyxhinge.runtime.server;

/** How the end of a request's body is recognized. */
sealed interface BodyFraming {

    /**
     * By its length.
     *
     * @param bytes the length
     */
    record Length(long bytes) implements BodyFraming {}

    /** By its last chunk. */
    record Chunked() implements BodyFraming {}

    /** Not at all: the head contradicts itself. */
    record Unknown() implements BodyFraming {}
}
