/**
 * Routes by host and path, workspaces by API key, and the services that routes lead to, in one immutable configuration.
 */
package org.onyxhinge.core.route;
