/**
 * Executes scheduling decisions on the traffic threads: sends each request to its target at most once,
 * streams the response to the caller of that request, and cancels or refuses requests. Also claims the
 * idempotency keys of non-idempotent requests.
 */
package org.onyxhinge.router.dispatch;
