/** Reading of HTTP responses whose senders may be faulty. */
package org.onyxhinge.wire.http;
