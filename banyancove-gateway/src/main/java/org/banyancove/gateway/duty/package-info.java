/**
 * Fleet-wide duties that a single gateway performs: its election by a lease, usage
 * reporting, and endpoint scaling; and the exchange of state between the gateways.
 * <p>
 * The decisions perform no I/O, and times are passed in.
 */
@NullMarked
package org.banyancove.gateway.duty;

import org.jspecify.annotations.NullMarked;
