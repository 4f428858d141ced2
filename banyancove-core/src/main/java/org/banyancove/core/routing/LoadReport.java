package org.banyancove.core.routing;

import java.time.Instant;

/**
 * The load reported by an endpoint, which lags behind its actual load.
 *
 * @param asOf the time at which the report is valid
 * @param running the number of requests in the batch
 * @param queued the number of requests waiting for a slot in the batch
 * @param tokensPerSecond the tokens generated per second
 * @param kvUsed the number of tokens in the KV cache
 * @param kvLimit the capacity of the KV cache in tokens, 0 if unknown
 */
public record LoadReport(Instant asOf, int running, int queued, double tokensPerSecond, long kvUsed, long kvLimit) {

	/**
	 * Creates the report.
	 * @throws IllegalArgumentException if a count is negative
	 */
	public LoadReport {
		if (running < 0 || queued < 0) {
			throw new IllegalArgumentException(
					"running and queued must not be negative: " + running + " and " + queued);
		}
	}

}
