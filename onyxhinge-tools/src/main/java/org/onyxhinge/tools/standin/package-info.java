/** Commands that run a platform stand-in as a separate process, for multi-process tests. */
package org.onyxhinge.tools.standin;
