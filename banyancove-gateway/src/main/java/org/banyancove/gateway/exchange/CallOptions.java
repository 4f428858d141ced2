package org.banyancove.gateway.exchange;

import java.time.Duration;

/**
 * How a call uses connections.
 *
 * @param connectTimeout how long a new connection may take
 * @param maximumIdle how long a kept connection may have been idle to be used
 * @param maximumConnections the connections to one address at once
 */
public record CallOptions(Duration connectTimeout, Duration maximumIdle, int maximumConnections) {

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
