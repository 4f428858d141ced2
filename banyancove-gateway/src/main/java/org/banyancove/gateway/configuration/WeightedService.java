package org.banyancove.gateway.configuration;

import org.banyancove.core.ServiceName;

/**
 * A service that takes a part of a route's requests.
 *
 * @param service the service
 * @param weight its part, relative to the route's other services
 */
public record WeightedService(ServiceName service, double weight) {

	/**
	 * Creates the pair.
	 * @throws IllegalArgumentException if {@code weight} is negative
	 */
	public WeightedService {
		if (!(weight >= 0)) {
			throw new IllegalArgumentException("weight must not be negative: " + weight);
		}
	}

}
