/** HTTP/1.1 servers whose clients are not trusted: bounds on what their connections cost, each and together. */
package org.onyxhinge.runtime.server;
