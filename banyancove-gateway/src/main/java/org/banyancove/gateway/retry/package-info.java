/**
 * The retries that a gateway may grant, as its part of what the fleet may retry.
 * <p>
 * Decides without input or output.
 */
@NullMarked
package org.banyancove.gateway.retry;

import org.jspecify.annotations.NullMarked;
