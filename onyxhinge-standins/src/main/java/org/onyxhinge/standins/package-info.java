/**
 * Small stand-ins for what the platform gives: the key-value service, model engines, plain services.
 * They speak the same protocols as the real ones at the interfaces onyxhinge uses and can be told to
 * fail. They are fakes at the interfaces, not a simulator of a cluster.
 */
package org.onyxhinge.standins;
