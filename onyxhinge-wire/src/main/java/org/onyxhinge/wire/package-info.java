/**
 * How onyxhinge processes talk to each other and to the key-value service: typed messages encoded
 * with MessagePack, carried in length-prefixed frames over TCP.
 */
package org.onyxhinge.wire;
