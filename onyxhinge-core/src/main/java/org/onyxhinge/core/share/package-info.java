/** Fair division of the slots of contended services. */
package org.onyxhinge.core.share;
