/** Collections that the other packages share. */
package org.onyxhinge.core.collect;
