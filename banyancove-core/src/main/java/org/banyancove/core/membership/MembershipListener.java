package org.banyancove.core.membership;

import org.banyancove.core.peer.PeerMessage;
import org.banyancove.core.peer.PeerState;

/**
 * Receives membership events. Called on the tick thread.
 */
public interface MembershipListener {

	/**
	 * A process joined, or rejoined after it was declared dead.
	 * @param peer the process
	 */
	default void joined(PeerState peer) {
	}

	/**
	 * A process is leaving and accepts no new work.
	 * @param peer the process
	 */
	default void leaving(PeerState peer) {
	}

	/**
	 * A process was declared dead.
	 * @param peer the process
	 */
	default void died(PeerState peer) {
	}

	/**
	 * A VM is about to be reclaimed. Called once for each VM.
	 * @param notice the notice
	 */
	default void vmLeaving(PeerMessage.LeavingNotice notice) {
	}

	/**
	 * A verdict on a fingerprint was reported. Called once for each fingerprint, endpoint
	 * and verdict.
	 * @param notice the notice
	 */
	default void suspectReported(PeerMessage.SuspectNotice notice) {
	}

	/**
	 * A heartbeat was received.
	 * @param heartbeat the heartbeat
	 */
	default void heartbeatReceived(PeerMessage.Heartbeat heartbeat) {
	}

}
