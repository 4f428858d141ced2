/**
 * The process of a gateway: shared state, exchange between gateways, duties of the lease
 * holder, metrics and shutdown.
 */
@NullMarked
package org.banyancove.gateway.daemon;

import org.jspecify.annotations.NullMarked;
