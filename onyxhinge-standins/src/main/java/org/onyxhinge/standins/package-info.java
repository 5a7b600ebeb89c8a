/**
 * Stand-ins (fakes) for the services of the platform: the key-value service, model engines, plain
 * services and the VM list. They implement the protocols that onyxhinge uses and support fault injection.
 * They do not simulate a cluster.
 */
package org.onyxhinge.standins;
