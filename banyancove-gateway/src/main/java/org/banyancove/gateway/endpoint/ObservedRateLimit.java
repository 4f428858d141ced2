package org.banyancove.gateway.endpoint;

import java.time.Duration;

import org.jspecify.annotations.Nullable;

/**
 * The rate limit that an endpoint declared in an answer.
 *
 * @param requestsPerSecond the requests per second that the endpoint accepts from all
 * gateways together, or {@code null} if it no longer declares a limit
 * @param age the time since the answer
 */
public record ObservedRateLimit(@Nullable Double requestsPerSecond, Duration age) {

	/**
	 * Creates the observation.
	 * @throws IllegalArgumentException if a value is negative
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
	 * Returns this observation with its age increased.
	 * @param elapsed the time to add to the age
	 * @return the aged observation
	 */
	public ObservedRateLimit after(Duration elapsed) {
		return new ObservedRateLimit(this.requestsPerSecond, this.age.plus(elapsed));
	}

	/**
	 * Returns the more recent of two observations.
	 * @param other the other observation
	 * @return the observation with the lower age
	 */
	public ObservedRateLimit newerOf(ObservedRateLimit other) {
		return (this.age.compareTo(other.age) <= 0) ? this : other;
	}

}
