/**
 * Storage of the operators' configuration in the key-value service: one key per tier, workspace, service
 * and pool under {@code config/}. Each value is a MessagePack map that includes the id of the operation
 * that wrote it.
 */
package org.onyxhinge.router.config;
