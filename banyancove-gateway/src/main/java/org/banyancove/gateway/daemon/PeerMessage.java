package org.banyancove.gateway.daemon;

import java.util.Map;

import org.banyancove.core.suspect.Fingerprint;
import org.banyancove.gateway.duty.FleetSummary;
import org.banyancove.gateway.duty.GatewayReport;
import org.banyancove.gateway.quarantine.SuspectReport;

/**
 * A message between gateways, sent as a datagram.
 */
sealed interface PeerMessage
		permits PeerMessage.Report, PeerMessage.Summary, PeerMessage.Relay, PeerMessage.Suspects, StreamOriginMessage {

	/**
	 * A report of a gateway to the aggregators of its group, or in a small fleet to all
	 * other gateways.
	 *
	 * @param report the report
	 */
	record Report(GatewayReport report) implements PeerMessage {
	}

	/**
	 * A summary of an aggregator: of its group to the other groups, or of the fleet to
	 * the members of its group.
	 *
	 * @param summary the summary
	 */
	record Summary(FleetSummary summary) implements PeerMessage {
	}

	/**
	 * Changed records that a gateway read from the store and relays.
	 *
	 * @param records the records
	 */
	record Relay(RelayedRecords records) implements PeerMessage {
	}

	/**
	 * Reports on requests that may crash endpoints. A message of its own, since gateways
	 * of other versions must be able to read the reports on traffic.
	 *
	 * @param reports the reports by fingerprint
	 */
	record Suspects(Map<Fingerprint, SuspectReport> reports) implements PeerMessage {

		public Suspects {
			reports = Map.copyOf(reports);
		}

	}

}
