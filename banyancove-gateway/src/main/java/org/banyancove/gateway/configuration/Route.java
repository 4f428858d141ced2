package org.banyancove.gateway.configuration;

import java.time.Duration;
import java.util.List;

import org.banyancove.core.ServiceName;
import org.jspecify.annotations.Nullable;

/**
 * A route for requests of a host and path prefix, with their services and targets.
 *
 * @param name the route's name
 * @param host the host, in lower case and without a port
 * @param pathPrefix the prefix of the path, with a slash at both ends
 * @param kind whether requests are idempotent or answered with a stream
 * @param resumable whether a stream can be resumed at another endpoint
 * @param timeout the maximum time to the final answer
 * @param latencyTarget the target time to the answer, or to a stream's first event
 * @param eventIntervalTarget the target for the maximum time between events of a stream
 * @param priority the priority, 0 highest
 * @param services the services that run the requests
 * @param maxAttempts the maximum number of endpoints that a request is sent to
 * @param anonymous whether requests require no key
 */
public record Route(String name, String host, String pathPrefix, RouteKind kind, boolean resumable, Duration timeout,
		Duration latencyTarget, Duration eventIntervalTarget, int priority, List<WeightedService> services,
		int maxAttempts, boolean anonymous) {

	/**
	 * Creates the route.
	 * @throws IllegalArgumentException if {@code services} is empty or
	 * {@code maxAttempts} is below 1
	 */
	public Route {
		services = List.copyOf(services);
		if (services.isEmpty()) {
			throw new IllegalArgumentException("services must not be empty: route " + name);
		}
		if (maxAttempts < 1) {
			throw new IllegalArgumentException("maxAttempts must be at least 1: " + maxAttempts);
		}
	}

	/**
	 * Returns the maximum time to the final answer of a request.
	 * @param deadline the caller's deadline, or {@code null} if it states none
	 * @return the earlier of the timeout and the deadline
	 */
	public Duration timeout(@Nullable Duration deadline) {
		return (deadline != null && deadline.compareTo(this.timeout) < 0) ? deadline : this.timeout;
	}

	/**
	 * Returns whether a request that may have been executed can be retried.
	 * @return whether a retry is permitted
	 */
	public boolean repeatable() {
		return switch (this.kind) {
			case IDEMPOTENT -> true;
			case NON_IDEMPOTENT -> false;
			case STREAMING -> this.resumable;
		};
	}

	/**
	 * Selects the service for a request in proportion to the weights.
	 * @param draw a random number from 0 to 1
	 * @return the service
	 */
	public ServiceName serviceFor(double draw) {
		double total = this.services.stream().mapToDouble(WeightedService::weight).sum();
		double remaining = draw * total;
		for (WeightedService candidate : this.services) {
			remaining -= candidate.weight();
			if (remaining < 0) {
				return candidate.service();
			}
		}
		return this.services.getFirst().service();
	}

}
