/**
 * A simulated model engine without network or clock, used by the placement experiments and as a reference for a
 * router's predictions.
 */
package org.onyxhinge.core.engine;
