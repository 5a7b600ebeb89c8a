/** Finding agents in the key-value service and keeping connections to those this router follows. */
package org.onyxhinge.router.peer;
