package org.banyancove.core.peer;

import org.banyancove.core.DataCenterName;
import org.banyancove.core.Incarnation;
import org.banyancove.core.ZoneName;

/**
 * The state of one entry process as disseminated by peers.
 *
 * @param incarnation the process
 * @param dataCenter its data center
 * @param zone its zone
 * @param address the address of its peer port, in the form {@code host:port}
 * @param refutation a number that only the process itself increments, to overrule states
 * in which it is suspected
 * @param status its status
 */
public record PeerState(Incarnation incarnation, DataCenterName dataCenter, ZoneName zone, String address,
		long refutation, PeerStatus status) {

	/**
	 * Returns whether this state overrules another state of the same process. Only the
	 * process itself increments the refutation number, so that its latest state overrules
	 * earlier ones; among states with the same number the later status has precedence.
	 * @param other the other state
	 * @return whether this state replaces the other one
	 */
	public boolean overrules(PeerState other) {
		if (this.refutation != other.refutation) {
			return this.refutation > other.refutation;
		}
		return this.status.compareTo(other.status) > 0;
	}

	/**
	 * Returns whether the process may still be working on requests that it owns.
	 * @return whether it is not declared dead
	 */
	public boolean isLiving() {
		return this.status != PeerStatus.DEAD;
	}

	/**
	 * Returns this state with another status.
	 * @param newStatus the status
	 * @return the state
	 */
	public PeerState withStatus(PeerStatus newStatus) {
		return new PeerState(this.incarnation, this.dataCenter, this.zone, this.address, this.refutation, newStatus);
	}

	/**
	 * Returns this state with another refutation number and status.
	 * @param newRefutation the refutation number
	 * @param newStatus the status
	 * @return the state
	 */
	public PeerState withRefutation(long newRefutation, PeerStatus newStatus) {
		return new PeerState(this.incarnation, this.dataCenter, this.zone, this.address, newRefutation, newStatus);
	}

}
