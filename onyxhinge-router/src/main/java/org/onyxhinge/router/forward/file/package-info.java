/**
 * A forwarding router configured by a single INI file, for sites without a platform that supplies its configuration.
 */
package org.onyxhinge.router.forward.file;
