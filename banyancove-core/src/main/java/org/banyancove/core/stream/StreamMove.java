package org.banyancove.core.stream;

/**
 * The ways to continue a stream after the loss of its connection or endpoint, ordered by
 * the number of recomputed tokens.
 */
public enum StreamMove {

	/** Over a new connection to the endpoint that runs the stream. */
	REATTACHED,

	/** At another endpoint that has imported the KV cache. */
	IMPORTED,

	/** At another endpoint, from the tokens so far. */
	RESUMED,

	/** At another endpoint, from the beginning. */
	RESTARTED

}
