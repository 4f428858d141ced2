package org.banyancove.gateway.configuration;

/**
 * What may be repeated of the requests on a route.
 */
public enum RouteKind {

	/** May run any number of times. */
	IDEMPOTENT,

	/** Runs at most once. */
	NON_IDEMPOTENT,

	/** Answers with a stream of events; runs at most once unless it can be resumed. */
	STREAMING

}
