package org.banyancove.platform;

import java.time.Duration;

/**
 * The result of fetching weights from the weight store.
 */
public sealed interface WeightResult {

	/**
	 * The store returned the weights.
	 *
	 * @param bytes the size of the weights in bytes
	 */
	record Fetched(long bytes) implements WeightResult {

	}

	/**
	 * The store rejected the fetch because of its rate limit.
	 *
	 * @param retryAfter the time after which to retry
	 */
	record Refused(Duration retryAfter) implements WeightResult {

	}

}
