package org.banyancove.gateway.exchange;

import java.time.Duration;

import org.banyancove.gateway.tunnel.ConnectContext;
import org.jspecify.annotations.Nullable;

/**
 * The connection options of a call.
 *
 * @param connectTimeout the timeout for establishing a new connection
 * @param maximumIdleTime the idle time beyond which a pooled connection is not reused
 * @param maximumConnections the maximum number of open connections per address
 * @param context what a connection to an endpoint is needed for, or {@code null} for a
 * call to the platform
 */
public record CallOptions(Duration connectTimeout, Duration maximumIdleTime, int maximumConnections,
		@Nullable ConnectContext context) {

	/**
	 * Creates the options.
	 * @throws IllegalArgumentException if {@code maximumConnections} is below 1
	 */
	public CallOptions {
		if (maximumConnections < 1) {
			throw new IllegalArgumentException("maximumConnections must be at least 1: " + maximumConnections);
		}
	}

}
