/**
 * Carrying out the scheduler's decisions on callers' traffic threads: sending a request to its target
 * once, streaming the answer back to its own caller only, cancelling, and refusing honestly.
 */
package org.onyxhinge.router.dispatch;
