package org.banyancove.core.entry;

import java.time.Duration;

import org.banyancove.core.error.ErrorKind;
import org.banyancove.core.routing.PlacementDecision;

/**
 * The result of placing a request's next attempt on an endpoint.
 */
sealed interface AttemptPlacement {

	/**
	 * The attempt can start.
	 *
	 * @param placed the selected endpoint
	 */
	record Ready(PlacementDecision.Placed placed) implements AttemptPlacement {
	}

	/**
	 * No endpoint can answer the request in time.
	 *
	 * @param kind the kind of error
	 * @param retryAfter the delay before a retry
	 */
	record Refused(ErrorKind kind, Duration retryAfter) implements AttemptPlacement {
	}

	/**
	 * The request is suspected of crashing endpoints and must wait, since suspects run
	 * isolated from each other.
	 *
	 * @param retryAfter the delay before a retry
	 */
	record Deferred(Duration retryAfter) implements AttemptPlacement {
	}

	/**
	 * The request crashed two endpoints and is not run again.
	 */
	record Blocked() implements AttemptPlacement {
	}

}
