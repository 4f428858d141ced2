package org.banyancove.core.peer;

/**
 * The status of an entry process. Among states with the same refutation number, a later
 * constant has precedence over an earlier one.
 */
public enum PeerStatus {

	/** The process sends heartbeats. */
	ALIVE,

	/** The process sends heartbeats, and its VM is about to be reclaimed or stopped. */
	LEAVING,

	/** A neighbor has received no heartbeat for longer than the suspicion timeout. */
	SUSPECTED,

	/**
	 * The suspicion was not refuted in time, or the process announced its termination.
	 */
	DEAD

}
