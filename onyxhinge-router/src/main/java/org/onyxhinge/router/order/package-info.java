/** Giving a pool's targets an order under a lease whose revision fences off older holders. */
package org.onyxhinge.router.order;
