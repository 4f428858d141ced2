package org.banyancove.gateway.retry;

import java.time.Duration;

/**
 * The limits of a service's retries for all gateways together: within any window, the
 * ratio of the requests and the burst.
 *
 * @param ratio the retries allowed per request
 * @param burst the retries allowed in addition to those
 * @param window the length of the window
 */
public record RetryLimits(double ratio, double burst, Duration window) {

	/**
	 * Creates the limits.
	 * @throws IllegalArgumentException if {@code ratio} is not from 0 to 1, {@code burst}
	 * is negative, or {@code window} is not positive
	 */
	public RetryLimits {
		if (!(ratio >= 0 && ratio <= 1)) {
			throw new IllegalArgumentException("ratio must be from 0 to 1: " + ratio);
		}
		if (!(burst >= 0)) {
			throw new IllegalArgumentException("burst must not be negative: " + burst);
		}
		if (!window.isPositive()) {
			throw new IllegalArgumentException("window must be positive: " + window);
		}
	}

}
