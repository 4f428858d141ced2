package org.banyancove.gateway.configuration;

import java.time.Duration;
import java.util.List;

import org.banyancove.core.ServiceName;

/**
 * Where requests of a host and path go, and what they are owed.
 *
 * @param name the route's name
 * @param host the host, in lower case and without a port
 * @param pathPrefix the prefix of the path, with a slash at both ends
 * @param kind what may be repeated
 * @param resumable whether a stream can go on at another endpoint
 * @param timeout the longest time until the final answer
 * @param latencyTarget the time to the answer, or to a stream's first event
 * @param longestPause the longest pause between events of a stream that is in time
 * @param priority the rank, 0 first
 * @param services the services that run the requests
 * @param maxAttempts how many endpoints one request may be sent to
 * @param anonymous whether requests need no key
 */
public record Route(String name, String host, String pathPrefix, RouteKind kind, boolean resumable, Duration timeout,
		Duration latencyTarget, Duration longestPause, int priority, List<WeightedService> services, int maxAttempts,
		boolean anonymous) {

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
	 * Returns whether a request that may have run can be sent again.
	 * @return whether it can be repeated
	 */
	public boolean repeatable() {
		return switch (this.kind) {
			case IDEMPOTENT -> true;
			case NON_IDEMPOTENT -> false;
			case STREAMING -> this.resumable;
		};
	}

	/**
	 * Returns the service that takes a request.
	 * @param draw a random number from 0 to 1
	 * @return the service
	 */
	public ServiceName serviceFor(double draw) {
		double total = this.services.stream().mapToDouble(WeightedService::weight).sum();
		double left = draw * total;
		for (WeightedService candidate : this.services) {
			left -= candidate.weight();
			if (left < 0) {
				return candidate.service();
			}
		}
		return this.services.getFirst().service();
	}

}
