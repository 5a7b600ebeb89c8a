/** The embedded default: every process of a small site on one machine, and the demo that drives it. */
package org.onyxhinge.tools.demo;
