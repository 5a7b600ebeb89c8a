/** Limits that hold over all routers together: workspace quotas and the retry budget. */
package org.onyxhinge.core.limit;
