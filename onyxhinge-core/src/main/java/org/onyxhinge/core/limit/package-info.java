/** Limits that apply to all routers together: workspace quotas and the retry budget. */
package org.onyxhinge.core.limit;
