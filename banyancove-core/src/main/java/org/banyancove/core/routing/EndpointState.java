package org.banyancove.core.routing;

/**
 * The state of an endpoint, which determines whether it receives new work.
 */
public enum EndpointState {

	/** The endpoint accepts new work. */
	LIVE,

	/**
	 * The endpoint has a reclaim notice: it completes running work and receives no new
	 * work.
	 */
	LEAVING,

	/** The endpoint crashed, or its VM was lost. */
	GONE

}
