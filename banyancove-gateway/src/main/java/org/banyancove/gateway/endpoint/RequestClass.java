package org.banyancove.gateway.endpoint;

/**
 * The latency target of a request in comparison with the other routes of its service.
 */
public enum LatencyClass {

	/** No route of the service has a shorter target. */
	SHORTEST_TARGET,

	/** Another route of the service has a shorter target. */
	LONGER_TARGET

}
