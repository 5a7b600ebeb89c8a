/** The gRPC service for operators defined in {@code admin.proto}, which every router serves, and its client. */
package org.onyxhinge.router.admin;
