package org.banyancove.core.retry;

import java.time.Duration;
import java.util.Set;

import org.banyancove.core.EndpointId;
import org.banyancove.core.error.ErrorKind;

/**
 * The decision on whether a failed attempt is retried.
 */
public sealed interface RetryDecision {

	/**
	 * The request is retried.
	 *
	 * @param excluded the endpoints that must not receive it
	 */
	record Retry(Set<EndpointId> excluded) implements RetryDecision {
	}

	/**
	 * The request fails immediately without another attempt.
	 *
	 * @param kind the kind of error to return
	 * @param retryAfter the retry delay, computed from the budget
	 */
	record GiveUp(ErrorKind kind, Duration retryAfter) implements RetryDecision {
	}

}
