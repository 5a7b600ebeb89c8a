/** The experiment tool: routing policies side by side under load, with CSV and plots. */
package org.onyxhinge.tools.experiment;
