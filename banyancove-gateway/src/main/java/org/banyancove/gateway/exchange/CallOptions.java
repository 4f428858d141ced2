package org.banyancove.gateway.exchange;

import java.time.Duration;

/**
 * The connection options of a call.
 *
 * @param connectTimeout the timeout for establishing a new connection
 * @param maximumIdleTime the idle time beyond which a pooled connection is not reused
 * @param maximumConnections the maximum number of open connections per address
 */
public record CallOptions(Duration connectTimeout, Duration maximumIdleTime, int maximumConnections) {

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
