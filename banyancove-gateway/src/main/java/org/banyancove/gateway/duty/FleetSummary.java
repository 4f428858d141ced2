package org.banyancove.gateway.duty;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * What an aggregator reports of a group of gateways, or of the whole fleet.
 *
 * @param incarnation the aggregator's process
 * @param group the group, or {@code null} for the whole fleet
 * @param presence the gateways by data centre
 * @param traffic the sums of their traffic
 * @param leaseHolder the process that does the shared duties, 0 if none is known
 * @param known what the reader knows whose state is most recent
 * @param readers the processes that read the store, the lowest first
 */
public record FleetSummary(long incarnation, @Nullable String group, List<DataCenterPresence> presence,
		TrafficTotals traffic, long leaseHolder, KnownState known, List<Long> readers) {

	/**
	 * Creates the summary.
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
	 * Returns the same gateways as of a summary that is out of date: their number still
	 * counts, nothing else of them does.
	 * @return the stale summary
	 */
	FleetSummary stale() {
		return new FleetSummary(this.incarnation, this.group,
				this.presence.stream().map(DataCenterPresence::stale).toList(), TrafficTotals.NONE, 0, KnownState.NONE,
				List.of());
	}

}
