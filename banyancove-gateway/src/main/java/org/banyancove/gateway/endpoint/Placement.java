package org.banyancove.gateway.endpoint;

import org.jspecify.annotations.Nullable;

/**
 * The endpoint that a request goes to.
 *
 * @param endpoint the endpoint
 * @param predictedMillis the time to its answer or first event, in ms
 * @param prefillTokens the tokens of its prompt that have to be prefilled
 * @param prefixSource the endpoint from which it is to copy the shared parts of the
 * prompt, or {@code null} if it holds or prefills them
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
