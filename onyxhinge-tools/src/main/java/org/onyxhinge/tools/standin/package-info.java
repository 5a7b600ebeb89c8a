/** Commands that run one platform stand-in as its own process, for tests of separate processes. */
package org.onyxhinge.tools.standin;
