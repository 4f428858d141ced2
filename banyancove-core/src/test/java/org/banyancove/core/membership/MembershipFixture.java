package org.banyancove.core.membership;

import java.time.Instant;

import org.banyancove.core.peer.PeerState;

/**
 * Fills a {@link PeerTable} for tests of other packages.
 */
public final class MembershipFixture {

	private MembershipFixture() {
	}

	/**
	 * Adds a process to a table.
	 * @param table the table
	 * @param state the process
	 */
	public static void put(PeerTable table, PeerState state) {
		table.put(state, Instant.EPOCH);
	}

	/**
	 * Sets whether a process is waiting for its first peer.
	 * @param table the process's table
	 * @param joining whether it is waiting
	 */
	public static void setJoining(PeerTable table, boolean joining) {
		table.setJoining(joining);
	}

}
