/**
 * Protocols between onyxhinge processes, and between them and the key-value service: typed messages
 * encoded with MessagePack and sent in length-prefixed frames over TCP.
 */
package org.onyxhinge.wire;
