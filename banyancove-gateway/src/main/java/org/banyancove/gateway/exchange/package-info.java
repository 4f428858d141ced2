/**
 * HTTP/1.1 request processing, from a caller's connection to an endpoint's and back.
 * <p>
 * This package does the I/O on the event loop and delegates decisions to the admission,
 * endpoint and rollout packages.
 */
@NullMarked
package org.banyancove.gateway.exchange;

import org.jspecify.annotations.NullMarked;
