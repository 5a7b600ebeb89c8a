/** Which version of a service began a stream, so that only targets of that version continue it. */
package org.onyxhinge.core.resume;
