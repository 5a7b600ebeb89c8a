/**
 * The operators' configuration as kept in the key-value service: one key per tier, workspace, service
 * and pool under {@code config/}, each a MessagePack map carrying the operation id that wrote it.
 */
package org.onyxhinge.router.config;
