package org.banyancove.gateway.exchange;

/**
 * Which requests a gateway takes, from its start to the end of its stop.
 */
public enum DrainPhase {

	/** All. */
	ALL,

	/** Those that end soon; a stream could outlast the process. */
	SHORT_ONES,

	/** None: whatever is taken now could be cut off. */
	NONE

}
