/**
 * Gradual rollout of a new version of a service: how many calls the version on trial gets, whether its answers are
 * worse than those of the version in use, and when all traffic moves. Pure decisions without I/O.
 */
package org.onyxhinge.core.rollout;
