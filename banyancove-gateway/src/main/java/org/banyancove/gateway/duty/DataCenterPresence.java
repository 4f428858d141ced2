package org.banyancove.gateway.duty;

import org.banyancove.core.DataCenterName;

/**
 * The gateways of a data centre, as one gateway knows them.
 *
 * @param dataCenter the data centre
 * @param gateways the gateways that belong to the fleet
 * @param reachable those whose reports arrive
 * @param responding whether one of them reported within the failure detection timeout
 */
public record DataCenterPresence(DataCenterName dataCenter, int gateways, int reachable, boolean responding) {

	/**
	 * Creates the presence.
	 * @throws IllegalArgumentException if {@code reachable} is negative or above
	 * {@code gateways}
	 */
	public DataCenterPresence {
		if (reachable < 0 || reachable > gateways) {
			throw new IllegalArgumentException("reachable must be from 0 to " + gateways + ": " + reachable);
		}
	}

	/**
	 * Adds gateways of the same data centre.
	 * @param other the other gateways
	 * @return the sum
	 */
	DataCenterPresence plus(DataCenterPresence other) {
		return new DataCenterPresence(this.dataCenter, this.gateways + other.gateways, this.reachable + other.reachable,
				this.responding || other.responding);
	}

	/**
	 * Returns the same gateways as of a report that is out of date.
	 * @return none of them reachable
	 */
	DataCenterPresence stale() {
		return new DataCenterPresence(this.dataCenter, this.gateways, 0, false);
	}

	/**
	 * Returns the gateways without one that is reachable.
	 * @return the rest
	 */
	DataCenterPresence withoutOne() {
		return new DataCenterPresence(this.dataCenter, Math.max(0, this.gateways - 1), Math.max(0, this.reachable - 1),
				this.responding);
	}

}
