package org.banyancove.gateway.rollout;

import java.time.Duration;

import org.banyancove.core.ServiceName;

/**
 * An operator's order to move a service's traffic to another version.
 *
 * @param service the service
 * @param candidate the version to which the traffic moves
 * @param duration the time from the order to its deadline
 * @param offset its offset in the operators' topic; a later order supersedes an earlier
 * one
 */
public record RolloutOrder(ServiceName service, String candidate, Duration duration, long offset) {

	/**
	 * Creates an order.
	 * @throws IllegalArgumentException if {@code candidate} is blank or {@code duration}
	 * is not positive
	 */
	public RolloutOrder {
		if (candidate.isBlank()) {
			throw new IllegalArgumentException("candidate must not be blank: rollout of " + service);
		}
		if (!duration.isPositive()) {
			throw new IllegalArgumentException("duration must be positive: " + duration);
		}
	}

}
