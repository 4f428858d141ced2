/**
 * Origins of streams, so that a caller can resume its stream at any gateway.
 * <p>
 * In-memory state and decisions without input or output, confined to the event loop
 * thread.
 */
@NullMarked
package org.banyancove.gateway.resumption;

import org.jspecify.annotations.NullMarked;
