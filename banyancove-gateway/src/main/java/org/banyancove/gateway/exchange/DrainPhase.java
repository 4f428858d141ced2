package org.banyancove.gateway.exchange;

/**
 * The requests that a gateway accepts, from its start to the end of its shutdown.
 */
public enum DrainPhase {

	/** All requests. */
	ALL,

	/** Non-streaming requests only: a stream could outlast the process. */
	NON_STREAMING,

	/** No requests: one accepted now could be interrupted by the end of the process. */
	NONE

}
