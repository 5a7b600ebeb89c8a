/** The operators' gRPC service of {@code admin.proto}, served by every router. */
package org.onyxhinge.router.admin;
