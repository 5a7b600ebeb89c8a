package org.onyxhinge.wire.frame;

/** Thrown for a frame or message that cannot be decoded: too large, truncated, or of an unknown type. */
public final class WireException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /** Creates an exception with a message that says what is invalid. */
    public WireException(String message) {
        super(message);
    }

    /** Creates an exception that wraps the MessagePack or I/O error. */
    public WireException(String message, Throwable cause) {
        super(message, cause);
    }
}
