/** Immutable records of what operators configure and what callers ask for. */
package org.onyxhinge.core.model;
