/** Requests that crash the targets that run them: how they are recognised and kept from further targets. */
package org.onyxhinge.core.quarantine;
