/**
 * Length-prefixed framing over Vert.x TCP sockets: a 4-byte big-endian length, then that many bytes
 * of MessagePack. Frames over {@link org.onyxhinge.wire.frame.FrameReader#MAX_FRAME_BYTES} close the
 * connection.
 */
package org.onyxhinge.wire.frame;
