package org.banyancove.gateway.duty;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * An aggregator's summary of a group of gateways or of the entire fleet.
 *
 * @param incarnation the incarnation of the aggregator's process
 * @param group the group, or {@code null} for the entire fleet
 * @param presence the gateways by data centre
 * @param traffic their aggregated traffic
 * @param leaseHolder the incarnation of the holder of the lease, 0 if none is known
 * @param sharedState the most recent shared state of any gateway that reads the store
 * @param readers the incarnations of the processes that read the store, the lowest first
 */
public record FleetSummary(long incarnation, @Nullable String group, List<DataCenterPresence> presence,
		TrafficTotals traffic, long leaseHolder, SharedStateVersion sharedState, List<Long> readers) {

	/**
	 * Creates a summary.
	 */
	public FleetSummary {
		presence = List.copyOf(presence);
		readers = List.copyOf(readers);
	}

	int gateways() {
		return this.presence.stream().mapToInt(DataCenterPresence::gateways).sum();
	}

	int reachable() {
		return this.presence.stream().mapToInt(DataCenterPresence::reachable).sum();
	}

	/**
	 * Returns this summary after its expiry: only the number of gateways is retained.
	 * @return the stale summary
	 */
	FleetSummary stale() {
		return new FleetSummary(this.incarnation, this.group,
				this.presence.stream().map(DataCenterPresence::stale).toList(), TrafficTotals.NONE, 0,
				SharedStateVersion.NONE, List.of());
	}

}
