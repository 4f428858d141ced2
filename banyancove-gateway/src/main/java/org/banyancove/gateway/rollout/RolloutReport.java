package org.banyancove.gateway.rollout;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.banyancove.core.ServiceName;

/**
 * What gateways report of rollouts.
 *
 * @param rollouts the newest state of each service's rollout
 * @param samples what was counted of the requests at its versions
 */
public record RolloutReport(List<Rollout> rollouts, Map<SampleKey, VersionSamples> samples) {

	/** No rollouts. */
	public static final RolloutReport NONE = new RolloutReport(List.of(), Map.of());

	/**
	 * Creates the report.
	 */
	public RolloutReport {
		rollouts = List.copyOf(rollouts);
		samples = Map.copyOf(samples);
	}

	/**
	 * Returns whether there is nothing to report.
	 * @return whether it is empty
	 */
	public boolean isEmpty() {
		return this.rollouts.isEmpty() && this.samples.isEmpty();
	}

	/**
	 * Adds another report.
	 * @param other the other report
	 * @return the newer states and the sums
	 */
	public RolloutReport plus(RolloutReport other) {
		if (other.isEmpty()) {
			return this;
		}
		if (isEmpty()) {
			return other;
		}
		Map<ServiceName, Rollout> newest = new HashMap<>();
		this.rollouts.forEach((rollout) -> newest.put(rollout.order().service(), rollout));
		other.rollouts.forEach((rollout) -> newest.merge(rollout.order().service(), rollout, Rollout::newerOf));
		Map<SampleKey, VersionSamples> sums = new HashMap<>(this.samples);
		other.samples.forEach((key, count) -> sums.merge(key, count, VersionSamples::plus));
		return new RolloutReport(List.copyOf(newest.values()), sums);
	}

	/**
	 * Subtracts what one gateway counted.
	 * @param other its report
	 * @return the same states and what is left of the sums
	 */
	public RolloutReport minus(RolloutReport other) {
		if (isEmpty() || other.samples.isEmpty()) {
			return this;
		}
		Map<SampleKey, VersionSamples> left = new HashMap<>(this.samples);
		other.samples.forEach((key, count) -> left.computeIfPresent(key, (name, sum) -> sum.minus(count)));
		return new RolloutReport(this.rollouts, left);
	}

	/**
	 * Returns what was counted for an order.
	 * @param order the order's place
	 * @param candidate whether of the candidate, or of the baseline
	 * @return the counts by route
	 */
	Map<String, VersionSamples> byRoute(long order, boolean candidate) {
		Map<String, VersionSamples> byRoute = new HashMap<>();
		this.samples.forEach((key, count) -> {
			if (key.order() == order && key.candidate() == candidate) {
				byRoute.put(key.route(), count);
			}
		});
		return byRoute;
	}

}
