package org.banyancove.gateway.endpoint;

import java.time.Duration;

/**
 * The slowdown that an endpoint announced in an answer.
 *
 * @param value the time that work takes on the endpoint's machine relative to the usual
 * time
 * @param age the time since the answer
 * @param startedAt the start time of the endpoint's process, in Unix milliseconds; 0 if
 * unknown
 */
public record ObservedSlowdown(double value, Duration age, long startedAt) {

	/**
	 * Creates the observation.
	 * @throws IllegalArgumentException if {@code value} is not positive or {@code age} is
	 * negative
	 */
	public ObservedSlowdown {
		if (!(value > 0)) {
			throw new IllegalArgumentException("value must be positive: " + value);
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
	public ObservedSlowdown after(Duration elapsed) {
		return new ObservedSlowdown(this.value, this.age.plus(elapsed), this.startedAt);
	}

	/**
	 * Returns the more recent of two observations.
	 * @param other the other observation
	 * @return the observation with the lower age
	 */
	public ObservedSlowdown newerOf(ObservedSlowdown other) {
		return (this.age.compareTo(other.age) <= 0) ? this : other;
	}

}
