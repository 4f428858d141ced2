/**
 * The table of endpoints, their observed state, and the placement of requests.
 * <p>
 * In-memory state and decisions without input or output, confined to the event loop
 * thread.
 */
@NullMarked
package org.banyancove.gateway.endpoint;

import org.jspecify.annotations.NullMarked;
