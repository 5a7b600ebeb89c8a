/** Immutable records of the operators' configuration and of callers' requests. */
package org.onyxhinge.core.model;
