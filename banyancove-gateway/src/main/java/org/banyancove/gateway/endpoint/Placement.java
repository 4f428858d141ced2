package org.banyancove.gateway.endpoint;

import org.jspecify.annotations.Nullable;

/**
 * The endpoint chosen for a request.
 *
 * @param endpoint the endpoint
 * @param predictedMillis the predicted time to the answer or first event, in ms
 * @param prefillTokens the prompt tokens to prefill
 * @param prefixSource the endpoint to copy the prompt's shared prefix from, or
 * {@code null} if the chosen endpoint has it cached or prefills it
 */
public record Placement(Endpoint endpoint, double predictedMillis, int prefillTokens, @Nullable Endpoint prefixSource) {

	/**
	 * Creates the placement.
	 * @throws IllegalArgumentException if {@code predictedMillis} is negative
	 */
	public Placement {
		if (!(predictedMillis >= 0)) {
			throw new IllegalArgumentException("predictedMillis must not be negative: " + predictedMillis);
		}
	}

}
