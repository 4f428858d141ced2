/**
 * Connections to endpoints, established directly or through another gateway.
 * <p>
 * Confined to the event loop thread.
 */
@NullMarked
package org.banyancove.gateway.tunnel;

import org.jspecify.annotations.NullMarked;
