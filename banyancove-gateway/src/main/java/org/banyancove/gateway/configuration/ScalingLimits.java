package org.banyancove.gateway.configuration;

import java.time.Duration;
import java.util.Map;

import org.banyancove.core.DataCenterName;

/**
 * Limits and prices for ordering endpoints of a service.
 *
 * @param minimumEndpoints the minimum number of endpoints in a data centre
 * @param maximumEndpoints the maximum number of endpoints in a data centre, reclaimable
 * and on-demand ones together
 * @param startupDuration the time from an order to the first request served
 * @param reclaimablePrice the price of a reclaimable endpoint relative to an on-demand
 * one
 * @param zonePrices the price of an endpoint per second, by data centre
 */
public record ScalingLimits(int minimumEndpoints, int maximumEndpoints, Duration startupDuration,
		double reclaimablePrice, Map<DataCenterName, Double> zonePrices) {

	/**
	 * Creates the limits.
	 * @throws IllegalArgumentException if {@code maximumEndpoints} is less than
	 * {@code minimumEndpoints}
	 */
	public ScalingLimits {
		zonePrices = Map.copyOf(zonePrices);
		if (maximumEndpoints < minimumEndpoints) {
			throw new IllegalArgumentException(
					"maximumEndpoints must be at least " + minimumEndpoints + ": " + maximumEndpoints);
		}
	}

}
