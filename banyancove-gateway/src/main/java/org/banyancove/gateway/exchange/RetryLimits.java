package org.banyancove.gateway.exchange;

/**
 * What all gateways together may send again, in a window, for each service.
 *
 * @param ratio the retries for each request
 * @param burst the retries beside those
 */
public record RetryLimits(double ratio, double burst) {

	/**
	 * Creates the limits.
	 * @throws IllegalArgumentException if {@code burst} is negative
	 */
	public RetryLimits {
		if (!(burst >= 0)) {
			throw new IllegalArgumentException("burst must not be negative: " + burst);
		}
	}

}
