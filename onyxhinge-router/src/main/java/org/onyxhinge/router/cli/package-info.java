/**
 * Command line of the router binary, based on Airline: {@code run}, {@code forward}, {@code dump} and
 * {@code admin apply|show|order}.
 */
package org.onyxhinge.router.cli;
