/** Selection of the engines that a router follows when there are more than it can follow. */
package org.onyxhinge.core.subset;
