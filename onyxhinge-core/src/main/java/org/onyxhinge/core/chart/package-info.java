/**
 * State charts stored in INI files and interpreted at run time. A chart file has a {@code [chart]} section naming the
 * {@code initial} state, then one section per state whose keys are events and whose values are the next state; a state
 * without keys is final.
 */
package org.onyxhinge.core.chart;
