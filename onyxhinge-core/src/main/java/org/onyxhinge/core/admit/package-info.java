/** Admission of calls to contended services, and the retries of callers that were refused. */
package org.onyxhinge.core.admit;
