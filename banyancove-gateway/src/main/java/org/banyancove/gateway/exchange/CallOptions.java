package org.banyancove.gateway.exchange;

import java.time.Duration;

import org.banyancove.gateway.tunnel.ConnectContext;
import org.jspecify.annotations.Nullable;

/**
 * The connection options of a call.
 *
 * @param connectTimeout the timeout for establishing a new connection
 * @param maximumIdleTime the idle time beyond which a pooled connection is not reused
 * @param connections the limit of connections to the address
 * @param context what a connection to an endpoint is needed for, or {@code null} for a
 * call to the platform
 * @param dedicated whether the connection carries no other call, for a call whose
 * response need not tell it from others
 * @param maximumDuration the time within which the call ends, for which its connection
 * must last
 */
public record CallOptions(Duration connectTimeout, Duration maximumIdleTime, ConnectionLimit connections,
		@Nullable ConnectContext context, boolean dedicated, Duration maximumDuration) {

	/** A pooled connection that has been idle for longer may be dead. */
	private static final Duration MAXIMUM_IDLE_TIME = Duration.ofSeconds(10);

	/** A non-repeatable request cannot be retried if its connection turns out dead. */
	private static final Duration MAXIMUM_IDLE_TIME_NON_REPEATABLE = Duration.ofSeconds(2);

	/**
	 * Returns the id of the request that the call is made for.
	 * @return the id, or {@code null} for a call to the platform
	 */
	@Nullable String requestId() {
		return (this.context != null) ? this.context.requestId() : null;
	}

	/**
	 * Creates the options of a call whose connection may have carried others.
	 * @param connectTimeout the timeout for establishing a new connection
	 * @param maximumIdleTime the idle time beyond which a pooled connection is not reused
	 * @param connections the limit of connections to the address
	 * @param context what a connection to an endpoint is needed for, or {@code null}
	 */
	public CallOptions(Duration connectTimeout, Duration maximumIdleTime, ConnectionLimit connections,
			@Nullable ConnectContext context) {
		this(connectTimeout, maximumIdleTime, connections, context, false);
	}

	/**
	 * Creates the options of a call that needs no long-lived connection.
	 * @param connectTimeout the timeout for establishing a new connection
	 * @param maximumIdleTime the idle time beyond which a pooled connection is not reused
	 * @param connections the limit of connections to the address
	 * @param context what a connection to an endpoint is needed for, or {@code null}
	 * @param dedicated whether the connection carries no other call
	 */
	public CallOptions(Duration connectTimeout, Duration maximumIdleTime, ConnectionLimit connections,
			@Nullable ConnectContext context, boolean dedicated) {
		this(connectTimeout, maximumIdleTime, connections, context, dedicated, Duration.ZERO);
	}

	/**
	 * Returns the options of a caller's request.
	 * @param repeatable whether the request may run more than once
	 * @param dedicated whether the connection carries no other call
	 * @param connectTimeout the timeout for establishing a new connection
	 * @param connections the limit of connections to the address
	 * @param context what the connection is needed for
	 * @param maximumDuration the time within which the request ends
	 * @return the options
	 */
	static CallOptions forRequest(boolean repeatable, boolean dedicated, Duration connectTimeout,
			ConnectionLimit connections, ConnectContext context, Duration maximumDuration) {
		return new CallOptions(connectTimeout, repeatable ? MAXIMUM_IDLE_TIME : MAXIMUM_IDLE_TIME_NON_REPEATABLE,
				connections, context, dedicated, maximumDuration);
	}

}
