/**
 * The scheduling core of onyxhinge: request model, tiers, admission, routing and load-shedding decisions, and the
 * request state chart. The package performs no I/O and reads no clock: callers pass the time in, so every decision can
 * be replayed in a test.
 */
package org.onyxhinge.core;
