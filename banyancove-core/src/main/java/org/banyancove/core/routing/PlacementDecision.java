package org.banyancove.core.routing;

import java.time.Duration;

import org.banyancove.core.EndpointId;
import org.banyancove.core.error.ErrorKind;

/**
 * The result of placing a request.
 */
public sealed interface PlacementDecision {

	/**
	 * The request is sent to an endpoint.
	 *
	 * @param endpoint the endpoint
	 * @param firstToken the predicted time to first token, zero if unknown
	 * @param perToken the predicted time between tokens, zero if unknown
	 * @param uncachedTokens the prompt tokens that the endpoint must compute
	 */
	record Placed(EndpointId endpoint, Duration firstToken, Duration perToken,
			int uncachedTokens) implements PlacementDecision {
	}

	/**
	 * No endpoint can serve the request in time.
	 *
	 * @param kind the kind of error to return
	 * @param retryAfter the retry delay, computed from the backlog
	 */
	record Refused(ErrorKind kind, Duration retryAfter) implements PlacementDecision {
	}

}
