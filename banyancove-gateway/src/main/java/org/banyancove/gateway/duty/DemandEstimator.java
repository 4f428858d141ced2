package org.banyancove.gateway.duty;

import java.util.HashMap;
import java.util.Map;

import org.banyancove.core.ServiceName;

/**
 * Estimates the engine time per second that this gateway's requests require, by service.
 * <p>
 * Requests rejected for lack of endpoints are included, since they indicate missing
 * capacity.
 */
public final class DemandEstimator {

	/**
	 * Time constant of the exponential decay, in s: short enough to react to the start of
	 * a burst.
	 */
	private static final double DECAY_SECONDS = 2;

	/**
	 * Minimum time over which the first requests are averaged, in s: a single request
	 * indicates no rate.
	 */
	private static final double MINIMUM_AVERAGING_SECONDS = 0.5;

	private final Map<ServiceName, DecayingRate> rates = new HashMap<>();

	/**
	 * Adds a request.
	 * @param service its service
	 * @param millis the engine time that it requires, in ms
	 * @param now the current time, in ns of the monotonic clock
	 */
	public void add(ServiceName service, double millis, long now) {
		this.rates.computeIfAbsent(service, (name) -> new DecayingRate(now)).add(millis, now);
	}

	/**
	 * Returns the engine time required by each service.
	 * @param now the current time, in ns of the monotonic clock
	 * @return the engine time in ms per second, by service
	 */
	public Map<ServiceName, Double> demandByService(long now) {
		Map<ServiceName, Double> all = new HashMap<>();
		this.rates.forEach((service, rate) -> all.put(service, rate.at(now)));
		return all;
	}

	private static final class DecayingRate {

		private final long startedAt;

		private double value;

		private long updatedAt;

		DecayingRate(long startedAt) {
			this.startedAt = startedAt;
		}

		void add(double millis, long now) {
			this.value = decayed(now) + millis / DECAY_SECONDS;
			this.updatedAt = now;
		}

		private double decayed(long now) {
			return this.value * Math.exp(-Math.max(0, now - this.updatedAt) / (DECAY_SECONDS * 1e9));
		}

		// The average starts at zero. Without the correction it reaches two thirds of the
		// rate only after two seconds, and endpoints are ordered that much later.
		double at(long now) {
			double seconds = Math.max(MINIMUM_AVERAGING_SECONDS, (now - this.startedAt) / 1e9);
			return decayed(now) / (1 - Math.exp(-seconds / DECAY_SECONDS));
		}

	}

}
