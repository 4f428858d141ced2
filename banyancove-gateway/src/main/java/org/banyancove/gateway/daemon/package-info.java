/**
 * The gateway's process: what it follows in shared state, what it publishes, its timers
 * and its stop.
 */
@NullMarked
package org.banyancove.gateway.daemon;

import org.jspecify.annotations.NullMarked;
