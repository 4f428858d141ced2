package org.banyancove.gateway.rollout;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.banyancove.core.ServiceName;

/**
 * The state and samples of rollouts that gateways report.
 *
 * @param rollouts the newest state of each service's rollout
 * @param samples the samples of the requests at its versions
 */
public record RolloutReport(List<Rollout> rollouts, Map<SampleKey, VersionSamples> samples) {

	/** No rollouts. */
	public static final RolloutReport NONE = new RolloutReport(List.of(), Map.of());

	/**
	 * Creates a report.
	 */
	public RolloutReport {
		rollouts = List.copyOf(rollouts);
		samples = Map.copyOf(samples);
	}

	/**
	 * Returns whether this report is empty.
	 * @return {@code true} if it has neither rollouts nor samples
	 */
	public boolean isEmpty() {
		return this.rollouts.isEmpty() && this.samples.isEmpty();
	}

	/**
	 * Adds another report.
	 * @param other the report to add
	 * @return the newer state of each rollout and the sums of the samples
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
		other.samples.forEach((key, added) -> sums.merge(key, added, VersionSamples::plus));
		return new RolloutReport(List.copyOf(newest.values()), sums);
	}

	/**
	 * Subtracts the samples of one gateway.
	 * @param other its report
	 * @return the same states and the remaining samples
	 */
	public RolloutReport minus(RolloutReport other) {
		if (isEmpty() || other.samples.isEmpty()) {
			return this;
		}
		Map<SampleKey, VersionSamples> remaining = new HashMap<>(this.samples);
		other.samples
			.forEach((key, subtracted) -> remaining.computeIfPresent(key, (name, sum) -> sum.minus(subtracted)));
		return new RolloutReport(this.rollouts, remaining);
	}

	/**
	 * Returns the samples of an order.
	 * @param order the offset of the order
	 * @param candidate whether to return the samples of the candidate or of the baseline
	 * @return the samples by route
	 */
	Map<String, VersionSamples> samplesByRoute(long order, boolean candidate) {
		Map<String, VersionSamples> byRoute = new HashMap<>();
		this.samples.forEach((key, versionSamples) -> {
			if (key.order() == order && key.candidate() == candidate) {
				byRoute.put(key.route(), versionSamples);
			}
		});
		return byRoute;
	}

}
