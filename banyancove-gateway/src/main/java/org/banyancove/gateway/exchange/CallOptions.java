package org.banyancove.gateway.exchange;

import java.time.Duration;

/**
 * How a call uses connections.
 *
 * @param connectTimeout how long a new connection may take
 * @param longestIdle how long a kept connection may have been idle to be used
 * @param mostConnections the connections to one address at once
 */
public record CallOptions(Duration connectTimeout, Duration longestIdle, int mostConnections) {

	/**
	 * Creates the options.
	 * @throws IllegalArgumentException if {@code mostConnections} is below 1
	 */
	public CallOptions {
		if (mostConnections < 1) {
			throw new IllegalArgumentException("mostConnections must be at least 1: " + mostConnections);
		}
	}

}
