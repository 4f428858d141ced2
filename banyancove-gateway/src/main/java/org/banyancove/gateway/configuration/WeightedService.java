package org.banyancove.gateway.configuration;

import org.banyancove.core.ServiceName;

/**
 * A service of a route, with its weight.
 *
 * @param service the service
 * @param weight the service's share of the route's requests, relative to the other
 * services
 */
public record WeightedService(ServiceName service, double weight) {

	/**
	 * Creates the weighted service.
	 * @throws IllegalArgumentException if {@code weight} is negative
	 */
	public WeightedService {
		if (!(weight >= 0)) {
			throw new IllegalArgumentException("weight must not be negative: " + weight);
		}
	}

}
