/**
 * Simulation of a fleet in virtual time, with callers, routers that use the production placement code, and engine
 * models. It compares policies under load patterns within seconds, over many seeds.
 */
package org.onyxhinge.tools.fleet;
