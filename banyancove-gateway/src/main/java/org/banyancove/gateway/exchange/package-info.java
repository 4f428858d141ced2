/**
 * The way of a request: from a caller's connection to an endpoint's and back, over
 * HTTP/1.1.
 * <p>
 * Input and output on the event loop; every choice is asked of the decision packages.
 */
@NullMarked
package org.banyancove.gateway.exchange;

import org.jspecify.annotations.NullMarked;
