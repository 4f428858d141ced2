package org.banyancove.gateway.duty;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.banyancove.core.DataCenterName;
import org.banyancove.core.EndpointId;
import org.banyancove.core.ServiceName;
import org.banyancove.gateway.endpoint.ObservedRateLimit;
import org.banyancove.gateway.rollout.RolloutReport;

/**
 * What a gateway knows of the others at one moment.
 *
 * @param others the other gateways of the fleet
 * @param reachableShare the part of the fleet that is reachable, this gateway included
 * @param unreachableDataCenters the other data centres none of whose gateways responds
 * @param loads what the others have at endpoints
 * @param work the engine time that the others' requests need, in ms a second, by service
 * @param rollouts what the others report of rollouts
 * @param rateLimits the newest rate limits that endpoints named to any gateway
 * @param leaseHeld whether another gateway does the shared duties
 * @param known what the reader knows whose state is most recent
 * @param readers the processes that read the store, the lowest first
 * @param aggregates whether the gateway itself is an aggregator of its group
 */
public record FleetView(int others, double reachableShare, Set<DataCenterName> unreachableDataCenters,
		Map<EndpointId, EndpointLoad> loads, Map<ServiceName, Double> work, RolloutReport rollouts,
		Map<EndpointId, ObservedRateLimit> rateLimits, boolean leaseHeld, KnownState known, List<Long> readers,
		boolean aggregates) {

	/** Of a gateway that knows no other one. */
	public static final FleetView ALONE = new FleetView(0, 1, Set.of(), Map.of(), Map.of(), RolloutReport.NONE,
			Map.of(), false, KnownState.NONE, List.of(), true);

	/**
	 * Gateways that read the store for all: with three, two may die at the same moment,
	 * or be slow, and changes still arrive in time.
	 */
	private static final int READERS = 3;

	/**
	 * Returns the view of a gateway.
	 * @param others the summary of the others
	 * @param own the gateway's data centre
	 * @param aggregates whether it is an aggregator of its group
	 * @return the view
	 */
	static FleetView of(FleetSummary others, DataCenterName own, boolean aggregates) {
		Set<DataCenterName> unreachable = new HashSet<>();
		for (DataCenterPresence part : others.presence()) {
			if (part.gateways() > 0 && !part.responding() && !part.dataCenter().equals(own)) {
				unreachable.add(part.dataCenter());
			}
		}
		return new FleetView(others.gateways(), (others.reachable() + 1.0) / (others.gateways() + 1), unreachable,
				others.traffic().loads(), others.traffic().work(), others.traffic().rollouts(),
				others.traffic().rateLimits(), others.leaseHolder() != 0, others.known(), others.readers(), aggregates);
	}

	/**
	 * Returns whether any other gateway is reachable.
	 * @return whether one is
	 */
	public boolean hearsOthers() {
		return this.reachableShare * (this.others + 1) > 1;
	}

	/**
	 * Returns whether enough others read the store, so that a gateway need not.
	 * <p>
	 * Each gateway that polls costs calls, which are paid for and bounded; at 810
	 * gateways the store's bound would be spent on polling alone. The aggregators with
	 * the lowest identifiers read, as all compute alike; a gateway that knows too few
	 * readers reads for itself.
	 * @param own the gateway's incarnation
	 * @return whether reading is left to others
	 */
	public boolean readingIsLeftToOthers(long own) {
		return this.readers.stream().filter((reader) -> !this.aggregates || reader < own).count() >= READERS;
	}

}
