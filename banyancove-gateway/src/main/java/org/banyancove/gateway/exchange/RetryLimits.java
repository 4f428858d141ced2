package org.banyancove.gateway.exchange;

/**
 * The retry limits of a service, for all gateways together.
 *
 * @param ratio the retries allowed per request
 * @param burst the additional retries allowed in a burst
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
