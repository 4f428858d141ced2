package org.banyancove.gateway.endpoint;

/**
 * The endpoint that a request goes to.
 *
 * @param endpoint the endpoint
 * @param predictedMillis the time to its answer or first event, in ms
 */
public record Placement(Endpoint endpoint, double predictedMillis) {

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
