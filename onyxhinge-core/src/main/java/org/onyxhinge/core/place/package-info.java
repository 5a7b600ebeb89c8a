/**
 * Which target a call goes to, which calls wait and which are refused, for targets that are known by a
 * registry and by what this router and its peers have running there. No I/O and no clock.
 */
package org.onyxhinge.core.place;
