package org.banyancove.gateway.duty;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

import org.banyancove.core.AccountName;
import org.banyancove.core.DataCenterName;
import org.banyancove.core.EndpointId;
import org.banyancove.core.ServiceName;
import org.banyancove.gateway.endpoint.ObservedRateLimit;
import org.banyancove.gateway.endpoint.ObservedSlowdown;
import org.banyancove.gateway.rollout.RolloutReport;
import org.jspecify.annotations.Nullable;

/**
 * Aggregates gateway reports and group summaries into one summary.
 */
final class FleetAggregation {

	/** Readers listed in a summary: one more than are required. */
	private static final int MAXIMUM_READERS = 4;

	private final Map<DataCenterName, DataCenterPresence> presence = new HashMap<>();

	private final Map<ServiceName, Double> demand = new HashMap<>();

	private final Map<EndpointId, EndpointLoad> loads = new HashMap<>();

	private final Map<EndpointId, ObservedRateLimit> rateLimits = new HashMap<>();

	private final Map<EndpointId, ObservedSlowdown> slowdowns = new HashMap<>();

	private final TreeSet<Long> readers = new TreeSet<>();

	private RolloutReport rollouts = RolloutReport.NONE;

	private long leaseHolder;

	private SharedStateVersion sharedState = SharedStateVersion.NONE;

	/**
	 * Adds the report of a gateway.
	 * @param report its newest report
	 * @param fresh whether its loads have not expired
	 * @param responding whether it reported within the failure detection timeout
	 * @param elapsed the time since the report was received
	 */
	void add(GatewayReport report, boolean fresh, boolean responding, Duration elapsed) {
		addPresence(new DataCenterPresence(report.dataCenter(), 1, fresh ? 1 : 0, responding));
		if (fresh) {
			addTraffic(report.traffic(), elapsed);
			this.leaseHolder = report.holdsLease() ? report.incarnation() : this.leaseHolder;
		}
		if (responding && report.sharedState().readsStore()) {
			this.readers.add(report.incarnation());
			updateSharedState(report.sharedState().aged(elapsed));
		}
	}

	/**
	 * Adds the summary of a group.
	 * @param summary its newest summary
	 * @param fresh whether its loads have not expired
	 * @param responding whether it was received within the failure detection timeout
	 * @param elapsed the time since the summary was received
	 */
	void add(FleetSummary summary, boolean fresh, boolean responding, Duration elapsed) {
		FleetSummary current = fresh ? summary : summary.stale();
		for (DataCenterPresence part : current.presence()) {
			addPresence(new DataCenterPresence(part.dataCenter(), part.gateways(), part.reachable(),
					part.responding() && responding));
		}
		addTraffic(current.traffic(), elapsed);
		this.leaseHolder = (current.leaseHolder() != 0) ? current.leaseHolder() : this.leaseHolder;
		if (responding) {
			this.readers.addAll(current.readers());
			updateSharedState(current.sharedState().aged(elapsed));
		}
	}

	/**
	 * Subtracts a gateway that is included in the sums.
	 * @param report its report
	 */
	void remove(GatewayReport report) {
		this.presence.computeIfPresent(report.dataCenter(), (name, part) -> part.minusOne());
		report.traffic()
			.demand()
			.forEach((service, millis) -> this.demand.computeIfPresent(service,
					(name, sum) -> Math.max(0, sum - millis)));
		report.traffic()
			.loads()
			.forEach((endpoint, load) -> this.loads.computeIfPresent(endpoint, (name, sum) -> sum.minus(load)));
		this.rollouts = this.rollouts.minus(report.traffic().rollouts());
		this.readers.remove(report.incarnation());
		this.leaseHolder = (this.leaseHolder == report.incarnation()) ? 0 : this.leaseHolder;
	}

	private void addPresence(DataCenterPresence part) {
		this.presence.merge(part.dataCenter(), part, DataCenterPresence::plus);
	}

	private void addTraffic(TrafficTotals traffic, Duration elapsed) {
		traffic.demand().forEach((service, millis) -> this.demand.merge(service, millis, Double::sum));
		traffic.loads().forEach((endpoint, load) -> this.loads.merge(endpoint, load, EndpointLoad::plus));
		this.rollouts = this.rollouts.plus(traffic.rollouts());
		traffic.rateLimits()
			.forEach((endpoint, limit) -> this.rateLimits.merge(endpoint, limit.after(elapsed),
					ObservedRateLimit::newerOf));
		traffic.slowdowns()
			.forEach((endpoint, slowdown) -> this.slowdowns.merge(endpoint, slowdown.after(elapsed),
					ObservedSlowdown::newerOf));
	}

	private void updateSharedState(SharedStateVersion candidate) {
		if (candidate.readsStore() && (!this.sharedState.readsStore() || candidate.isNewerThan(this.sharedState))) {
			this.sharedState = candidate;
		}
	}

	/**
	 * Returns the aggregated summary.
	 * @param incarnation the incarnation of the aggregating process
	 * @param group the group, or {@code null} for the entire fleet
	 * @param counts the number of requests started, by usage window and client account
	 * @param used the quota used, by client account
	 * @return the summary
	 */
	FleetSummary summary(long incarnation, @Nullable String group, Map<Long, Map<AccountName, Long>> counts,
			Map<AccountName, Double> used) {
		List<Long> lowestReaders = this.readers.stream().limit(MAXIMUM_READERS).toList();
		return new FleetSummary(
				incarnation, group, List.copyOf(this.presence.values()), new TrafficTotals(counts, used, this.demand,
						this.loads, this.rollouts, this.rateLimits, this.slowdowns),
				this.leaseHolder, this.sharedState, lowestReaders);
	}

}
