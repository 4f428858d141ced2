package org.banyancove.gateway.configuration;

/**
 * The kind of a route, which determines whether its requests may be retried.
 */
public enum RouteKind {

	/** Requests may be executed any number of times. */
	IDEMPOTENT,

	/** Requests are executed at most once. */
	NON_IDEMPOTENT,

	/**
	 * Requests are answered with a stream of events, and executed at most once unless the
	 * stream can be resumed.
	 */
	STREAMING

}
