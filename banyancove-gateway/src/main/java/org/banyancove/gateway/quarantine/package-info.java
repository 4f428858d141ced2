/**
 * Detection of requests that crash the endpoints that run them.
 * <p>
 * In-memory state and decisions without input or output, confined to the event loop
 * thread.
 */
@NullMarked
package org.banyancove.gateway.quarantine;

import org.jspecify.annotations.NullMarked;
