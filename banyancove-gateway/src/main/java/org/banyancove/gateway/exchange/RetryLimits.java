package org.banyancove.gateway.exchange;

/**
 * The retry limits of a service within a window, for all gateways together.
 *
 * @param ratio the retries allowed per request
 * @param burst the retries allowed in addition to those
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
