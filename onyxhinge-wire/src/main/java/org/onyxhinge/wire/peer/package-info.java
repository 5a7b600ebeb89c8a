/** Messages between agents and routers, and their MessagePack codec. */
package org.onyxhinge.wire.peer;
