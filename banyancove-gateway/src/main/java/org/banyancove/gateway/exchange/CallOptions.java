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

	/** A pooled connection that has been idle for longer may be dead. */
	private static final Duration MAXIMUM_IDLE_TIME = Duration.ofSeconds(10);

	/** A non-repeatable request cannot be retried if its connection turns out dead. */
	private static final Duration MAXIMUM_IDLE_TIME_NON_REPEATABLE = Duration.ofSeconds(2);

	/**
	 * Creates the options.
	 * @throws IllegalArgumentException if {@code maximumConnections} is below 1
	 */
	public CallOptions {
		if (maximumConnections < 1) {
			throw new IllegalArgumentException("maximumConnections must be at least 1: " + maximumConnections);
		}
	}

	/**
	 * Returns the options of a caller's request.
	 * @param repeatable whether the request may run more than once
	 * @param connectTimeout the timeout for establishing a new connection
	 * @param maximumConnections the maximum number of open connections per address
	 * @param context what the connection is needed for
	 * @return the options
	 */
	static CallOptions forRequest(boolean repeatable, Duration connectTimeout, int maximumConnections,
			ConnectContext context) {
		return new CallOptions(connectTimeout, repeatable ? MAXIMUM_IDLE_TIME : MAXIMUM_IDLE_TIME_NON_REPEATABLE,
				maximumConnections, context);
	}

}
