/** Messages between routers and agents and among routers, their MessagePack codec and their connections. */
package org.onyxhinge.wire.peer;
