package org.banyancove.gateway.duty;

import java.util.HashMap;
import java.util.Map;

import org.banyancove.core.ServiceName;

/**
 * The engine time that this gateway's requests need, a second, by service.
 * <p>
 * Requests that were rejected for want of endpoints count too: they show what is missing.
 */
public final class DemandEstimator {

	/**
	 * How fast past work loses weight, in s: short enough to show the start of a burst.
	 */
	private static final double LIFE_SECONDS = 2;

	private final Map<ServiceName, Mean> means = new HashMap<>();

	/**
	 * Counts a request.
	 * @param service its service
	 * @param millis the engine time that it needs, in ms
	 * @param now the present time, in ns of the steady clock
	 */
	public void add(ServiceName service, double millis, long now) {
		this.means.computeIfAbsent(service, (name) -> new Mean()).add(millis, now);
	}

	/**
	 * Returns the engine time that is needed of each service.
	 * @param now the present time, in ns of the steady clock
	 * @return milliseconds a second
	 */
	public Map<ServiceName, Double> perService(long now) {
		Map<ServiceName, Double> all = new HashMap<>();
		this.means.forEach((service, mean) -> all.put(service, mean.at(now)));
		return all;
	}

	private static final class Mean {

		private double value;

		private long updatedAt;

		void add(double millis, long now) {
			this.value = at(now) + millis / LIFE_SECONDS;
			this.updatedAt = now;
		}

		double at(long now) {
			return this.value * Math.exp(-Math.max(0, now - this.updatedAt) / (LIFE_SECONDS * 1e9));
		}

	}

}
