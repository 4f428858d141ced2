package org.banyancove.gateway.daemon;

import org.banyancove.gateway.duty.FleetSummary;
import org.banyancove.gateway.duty.GatewayReport;

/**
 * What gateways send each other as datagrams.
 */
sealed interface PeerMessage {

	/**
	 * A gateway reports to an aggregator of its group, or in a small fleet to any other.
	 *
	 * @param report its report
	 */
	record Report(GatewayReport report) implements PeerMessage {
	}

	/**
	 * An aggregator reports its group to the other groups, or the fleet to its group.
	 *
	 * @param summary the summary
	 */
	record Summary(FleetSummary summary) implements PeerMessage {
	}

	/**
	 * A gateway that reads the store passes on what changed.
	 *
	 * @param relayed the records
	 */
	record Relay(RelayedRecords relayed) implements PeerMessage {
	}

}
