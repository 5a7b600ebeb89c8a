/** The router's end of the agents' TCP connections: hellos, load reports and leaving notices. */
package org.onyxhinge.router.peer;
