/**
 * Orders to targets (load a model, an adapter, a version; change role) and the fencing that keeps an
 * order of a holder whose lease has lapsed from taking effect.
 */
package org.onyxhinge.core.order;
