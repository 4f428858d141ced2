package org.banyancove.core.planner;

import java.time.Duration;

/**
 * Settings of a {@link PlannerSystem}.
 *
 * @param lease the duration of a lease without a renewal
 * @param listInterval the interval at which the cloud's VMs are listed
 * @param callTimeout the timeout of a call to the cloud or an engine
 * @param orderInterval the interval at which an engine's state is read back, and an order
 * retried that was not applied
 * @param refusedStart the mean delay after a first refused start
 * @param startsInFlight the maximum number of unanswered starts
 * @param loadsPerSecond the weight store's rate for this data center
 * @param loadBurst the maximum number of weight loads that may begin at once
 */
public record PlannerSettings(Duration lease, Duration listInterval, Duration callTimeout, Duration orderInterval,
		Duration refusedStart, int startsInFlight, double loadsPerSecond, int loadBurst) {

	/**
	 * Creates the settings.
	 * @throws IllegalArgumentException if a value is out of its range
	 */
	public PlannerSettings {
		check(lease.isPositive(), "lease", lease);
		if (lease.compareTo(LeaseRecord.MAXIMUM_DURATION) > 0) {
			throw new IllegalArgumentException("lease must be at most " + LeaseRecord.MAXIMUM_DURATION + ": " + lease);
		}
		check(listInterval.isPositive(), "listInterval", listInterval);
		check(callTimeout.isPositive(), "callTimeout", callTimeout);
		check(orderInterval.isPositive(), "orderInterval", orderInterval);
		check(refusedStart.isPositive(), "refusedStart", refusedStart);
		check(startsInFlight > 0, "startsInFlight", startsInFlight);
		check(loadsPerSecond > 0, "loadsPerSecond", loadsPerSecond);
		check(loadBurst > 0, "loadBurst", loadBurst);
	}

	/**
	 * Returns the settings that apply unless configured otherwise.
	 * @return the default settings
	 */
	public static PlannerSettings defaults() {
		return new PlannerSettings(Duration.ofSeconds(15), Duration.ofSeconds(5), Duration.ofSeconds(5),
				Duration.ofSeconds(5), Duration.ofSeconds(5), 16, 1, 4);
	}

	private static void check(boolean valid, String name, Object value) {
		if (!valid) {
			throw new IllegalArgumentException(name + " must be positive: " + value);
		}
	}

}
