/**
 * Orders to targets (load a model or an adapter, set a version, change role), and the fencing that stops orders from a
 * holder whose lease has expired.
 */
package org.onyxhinge.core.order;
