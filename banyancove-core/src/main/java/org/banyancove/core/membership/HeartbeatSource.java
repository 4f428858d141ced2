package org.banyancove.core.membership;

import java.util.List;

import org.banyancove.core.EndpointId;
import org.banyancove.core.peer.EndpointLoad;

/**
 * Provides the content of a process's heartbeats. Called on the tick thread, once for
 * each round of heartbeats.
 */
public interface HeartbeatSource {

	/**
	 * Returns the offset up to which the profiles were read.
	 * @return the offset after the last record, or -1 if none was read
	 */
	long configurationOffset();

	/**
	 * Returns the offset up to which each key slot was read.
	 * @return one offset for each slot
	 */
	List<Long> keySlotOffsets();

	/**
	 * Removes and returns the load sent to endpoints since the last call.
	 * @return the loads; a bounded number of those with the most tokens is sent
	 */
	List<EndpointLoad> drainSentLoads();

	/**
	 * Returns the leaving endpoints.
	 * @return the endpoints; a bounded number of the first ones is sent
	 */
	List<EndpointId> leavingEndpoints();

	/**
	 * Returns a digest of the suspected fingerprints.
	 * @return the digest
	 */
	long suspectsDigest();

}
