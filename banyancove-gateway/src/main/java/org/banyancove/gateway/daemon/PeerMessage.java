package org.banyancove.gateway.daemon;

import org.banyancove.gateway.duty.GatewayReport;

/**
 * What gateways send each other as datagrams.
 */
sealed interface PeerMessage {

	/**
	 * A gateway tells of itself.
	 *
	 * @param report what it tells
	 */
	record Report(GatewayReport report) implements PeerMessage {
	}

	/**
	 * A gateway that reads the store passes on what changed.
	 *
	 * @param relayed the records
	 */
	record Relay(RelayedRecords relayed) implements PeerMessage {
	}

}
