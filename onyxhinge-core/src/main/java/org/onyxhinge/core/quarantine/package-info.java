/** Detection of requests that crash the targets that run them, and their quarantine. */
package org.onyxhinge.core.quarantine;
