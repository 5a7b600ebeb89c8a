/** How a call is moved from the target that has it to another one, without losing either before one of them answers. */
package org.onyxhinge.core.move;
