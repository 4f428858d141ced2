package org.banyancove.gateway.duty;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.banyancove.core.DataCenterName;
import org.banyancove.core.EndpointId;
import org.banyancove.core.ServiceName;
import org.banyancove.gateway.endpoint.ObservedRateLimit;
import org.banyancove.gateway.endpoint.ObservedSlowdown;
import org.banyancove.gateway.rollout.RolloutReport;

/**
 * A gateway's view of the other gateways at one point in time.
 *
 * @param otherGateways the number of other gateways in the fleet
 * @param reachableShare the fraction of the fleet that is reachable, including this
 * gateway
 * @param unreachableDataCenters the other data centres without a responding gateway
 * @param loads the load of the other gateways at each endpoint
 * @param demand the engine time required by the other gateways' requests, in ms per
 * second, by service
 * @param rollouts the rollout samples of the other gateways
 * @param rateLimits the newest rate limits that endpoints reported to any gateway
 * @param slowdowns the newest slowdowns that endpoints announced to any gateway
 * @param leaseHeldElsewhere whether another gateway holds the lease of the fleet-wide
 * duties
 * @param sharedState the most recent shared state of any gateway that reads the store
 * @param readers the incarnations of the processes that read the store, the lowest first
 * @param aggregator whether this gateway is an aggregator of its group
 */
public record FleetView(int otherGateways, double reachableShare, Set<DataCenterName> unreachableDataCenters,
		Map<EndpointId, EndpointLoad> loads, Map<ServiceName, Double> demand, RolloutReport rollouts,
		Map<EndpointId, ObservedRateLimit> rateLimits, Map<EndpointId, ObservedSlowdown> slowdowns,
		boolean leaseHeldElsewhere, SharedStateVersion sharedState, List<Long> readers, boolean aggregator) {

	/** The view of a gateway without known peers. */
	public static final FleetView ALONE = new FleetView(0, 1, Set.of(), Map.of(), Map.of(), RolloutReport.NONE,
			Map.of(), Map.of(), false, SharedStateVersion.NONE, List.of(), true);

	/**
	 * Gateways that read the store on behalf of the fleet: with three, changes still
	 * arrive in time if two fail at once or are slow.
	 */
	private static final int REQUIRED_READERS = 3;

	/**
	 * Creates the view of a gateway.
	 * @param others the summary of the other gateways
	 * @param ownDataCenter the gateway's data centre
	 * @param aggregator whether it is an aggregator of its group
	 * @return the view
	 */
	static FleetView of(FleetSummary others, DataCenterName ownDataCenter, boolean aggregator) {
		Set<DataCenterName> unreachable = new HashSet<>();
		for (DataCenterPresence part : others.presence()) {
			if (part.gateways() > 0 && !part.responding() && !part.dataCenter().equals(ownDataCenter)) {
				unreachable.add(part.dataCenter());
			}
		}
		return new FleetView(others.gateways(), (others.reachable() + 1.0) / (others.gateways() + 1), unreachable,
				others.traffic().loads(), others.traffic().demand(), others.traffic().rollouts(),
				others.traffic().rateLimits(), others.traffic().slowdowns(), others.leaseHolder() != 0,
				others.sharedState(), others.readers(), aggregator);
	}

	/**
	 * Returns the number of reachable gateways.
	 * @return the number, including this gateway
	 */
	public int reachableGateways() {
		return (int) Math.round(this.reachableShare * (this.otherGateways + 1));
	}

	/**
	 * Returns whether any other gateway is reachable.
	 * @return {@code true} if at least one is reachable
	 */
	public boolean reachesOthers() {
		return reachableGateways() > 1;
	}

	/**
	 * Returns whether enough other gateways read the store on behalf of this one.
	 * <p>
	 * Polling calls are billed and rate limited; at 810 gateways, polling alone would
	 * consume the store's limit. The aggregators with the lowest incarnations read, which
	 * every gateway computes identically. A gateway that knows too few readers reads the
	 * store itself.
	 * @param own the gateway's incarnation
	 * @return {@code true} if this gateway does not need to read the store
	 */
	public boolean delegatesReading(long own) {
		return this.readers.stream().filter((reader) -> !this.aggregator || reader < own).count() >= REQUIRED_READERS;
	}

}
