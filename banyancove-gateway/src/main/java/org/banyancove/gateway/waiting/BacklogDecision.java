package org.banyancove.gateway.waiting;

import java.time.Duration;

/**
 * The decision about a request for which placement chose an endpoint.
 */
public sealed interface BacklogDecision {

	/** The request is sent to the endpoint. */
	record Send() implements BacklogDecision {
	}

	/** The request waits at the gateway. */
	record Wait() implements BacklogDecision {
	}

	/**
	 * The request is rejected.
	 *
	 * @param retryAfter the time after which the caller may retry
	 */
	record Rejected(Duration retryAfter) implements BacklogDecision {
	}

}
