package org.banyancove.gateway.configuration;

import java.time.Duration;
import java.util.Map;

import org.banyancove.core.DataCenterName;

/**
 * How many endpoints of a service may be ordered, and at what price.
 *
 * @param fewest the fewest in a data centre
 * @param most the most in a data centre, of both kinds together
 * @param startTime from an order to the first request served
 * @param reclaimablePrice the price of a reclaimable endpoint as a part of the others'
 * @param zonePrices the price of a second of an endpoint, by data centre
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
