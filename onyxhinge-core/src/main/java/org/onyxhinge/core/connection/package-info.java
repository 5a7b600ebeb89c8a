/** What a connection to a target has carried, and which of the responses on it belongs to the call that it carries. */
package org.onyxhinge.core.connection;
