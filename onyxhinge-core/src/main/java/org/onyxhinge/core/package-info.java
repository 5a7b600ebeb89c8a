/**
 * The pure scheduling core of onyxhinge: request model, tiers, admission, routing and shedding
 * decisions, and the request state chart. Nothing here performs I/O or reads a clock: callers pass
 * the time in, so every decision can be replayed in a test.
 */
package org.onyxhinge.core;
