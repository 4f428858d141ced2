package org.banyancove.gateway.duty;

import org.banyancove.core.DataCenterName;

/**
 * The gateways of a data centre, as observed by one gateway.
 *
 * @param dataCenter the data centre
 * @param gateways the number of gateways that belong to the fleet
 * @param reachable the number of gateways whose reports are received
 * @param responding whether any of them reported within the failure detection timeout
 */
public record DataCenterPresence(DataCenterName dataCenter, int gateways, int reachable, boolean responding) {

	/**
	 * Creates a presence.
	 * @throws IllegalArgumentException if {@code reachable} is negative or above
	 * {@code gateways}
	 */
	public DataCenterPresence {
		if (reachable < 0 || reachable > gateways) {
			throw new IllegalArgumentException("reachable must be from 0 to " + gateways + ": " + reachable);
		}
	}

	/**
	 * Adds other gateways of the same data centre.
	 * @param other the presence to add
	 * @return the sum
	 */
	DataCenterPresence plus(DataCenterPresence other) {
		return new DataCenterPresence(this.dataCenter, this.gateways + other.gateways, this.reachable + other.reachable,
				this.responding || other.responding);
	}

	/**
	 * Returns the same gateways for an expired report.
	 * @return the presence, with no gateway reachable
	 */
	DataCenterPresence stale() {
		return new DataCenterPresence(this.dataCenter, this.gateways, 0, false);
	}

	/**
	 * Subtracts one reachable gateway.
	 * @return the remaining gateways
	 */
	DataCenterPresence minusOne() {
		return new DataCenterPresence(this.dataCenter, Math.max(0, this.gateways - 1), Math.max(0, this.reachable - 1),
				this.responding);
	}

}
