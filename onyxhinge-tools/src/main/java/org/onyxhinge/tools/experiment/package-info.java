/** Experiment tool that compares routing policies under load and reports the results as CSV and plots. */
package org.onyxhinge.tools.experiment;
