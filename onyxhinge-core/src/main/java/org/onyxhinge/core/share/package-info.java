/** Shares of a contended service's slots. */
package org.onyxhinge.core.share;
