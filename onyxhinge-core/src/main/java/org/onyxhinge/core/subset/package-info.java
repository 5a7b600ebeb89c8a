/** Which engines a router listens to when there are more than it can follow. */
package org.onyxhinge.core.subset;
