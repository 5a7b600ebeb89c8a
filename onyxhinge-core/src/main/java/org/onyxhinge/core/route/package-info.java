/** Routes by host and path, workspaces by API key, and the services they lead to: one immutable configuration. */
package org.onyxhinge.core.route;
