/**
 * Length-prefixed framing over Vert.x TCP sockets: a 4-byte big-endian length, then that many bytes
 * of MessagePack. A frame larger than {@link org.onyxhinge.wire.frame.FrameReader#MAX_FRAME_BYTES}
 * closes the connection.
 */
package org.onyxhinge.wire.frame;
