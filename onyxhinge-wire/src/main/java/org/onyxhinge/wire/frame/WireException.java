package org.onyxhinge.wire.frame;

/** A frame or message that cannot be read: too large, truncated, or of an unknown type. */
public final class WireException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /** Creates the error with a message naming what was wrong. */
    public WireException(String message) {
        super(message);
    }

    /** Creates the error wrapping the codec's own. */
    public WireException(String message, Throwable cause) {
        super(message, cause);
    }
}
