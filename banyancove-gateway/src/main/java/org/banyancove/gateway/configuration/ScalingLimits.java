package org.banyancove.gateway.configuration;

import java.time.Duration;
import java.util.Map;

import org.banyancove.core.DataCenterName;

/**
 * Limits and prices for ordering endpoints of a service.
 *
 * @param fewest the minimum number of endpoints in a data centre
 * @param most the maximum number of endpoints in a data centre, reclaimable and on-demand
 * ones together
 * @param startTime the time from an order to the first request served
 * @param reclaimablePrice the price of a reclaimable endpoint relative to an on-demand
 * one
 * @param zonePrices the price of an endpoint per second, by data centre
 */
public record ScalingLimits(int fewest, int most, Duration startTime, double reclaimablePrice,
		Map<DataCenterName, Double> zonePrices) {

	/**
	 * Creates the limits.
	 * @throws IllegalArgumentException if {@code most} is less than {@code fewest}
	 */
	public ScalingLimits {
		zonePrices = Map.copyOf(zonePrices);
		if (most < fewest) {
			throw new IllegalArgumentException("most must be at least " + fewest + ": " + most);
		}
	}

}
