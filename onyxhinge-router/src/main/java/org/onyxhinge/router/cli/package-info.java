/** The router binary's command line (Airline): {@code run}, {@code admin apply|show}, {@code dump}. */
package org.onyxhinge.router.cli;
