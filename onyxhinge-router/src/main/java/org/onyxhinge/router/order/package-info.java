/** Orders to the targets of a pool, sent under a lease whose revision is the fencing token of the order. */
package org.onyxhinge.router.order;
