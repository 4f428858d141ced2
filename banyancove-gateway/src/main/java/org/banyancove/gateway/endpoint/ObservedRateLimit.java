package org.banyancove.gateway.endpoint;

import java.time.Duration;

import org.jspecify.annotations.Nullable;

/**
 * The rate limit that an endpoint named in an answer some time ago.
 *
 * @param requestsPerSecond the requests a second that it accepts from all gateways
 * together, or {@code null} if it named no limit any more
 * @param age since the answer
 */
public record ObservedRateLimit(@Nullable Double requestsPerSecond, Duration age) {

	/**
	 * Creates the observation.
	 * @throws IllegalArgumentException if a figure is negative
	 */
	public ObservedRateLimit {
		if (requestsPerSecond != null && !(requestsPerSecond >= 0)) {
			throw new IllegalArgumentException("requestsPerSecond must not be negative: " + requestsPerSecond);
		}
		if (age.isNegative()) {
			throw new IllegalArgumentException("age must not be negative: " + age);
		}
	}

	/**
	 * Returns the same observation after some time.
	 * @param elapsed the time
	 * @return the observation, older by that time
	 */
	public ObservedRateLimit after(Duration elapsed) {
		return new ObservedRateLimit(this.requestsPerSecond, this.age.plus(elapsed));
	}

	/**
	 * Returns the more recent of two observations.
	 * @param other the other one
	 * @return the one of lower age
	 */
	public ObservedRateLimit newerOf(ObservedRateLimit other) {
		return (this.age.compareTo(other.age) <= 0) ? this : other;
	}

}
