package org.banyancove.gateway.endpoint;

/**
 * The classes of requests between which the endpoints of a service are divided.
 */
public enum RequestClass {

	/** No route of the service has a shorter latency target. */
	SHORTEST_TARGET,

	/** A route of the service has a shorter target, or all have the same. */
	LONGER_TARGET,

	/** The prompt is several times as long as usual, whatever its route. */
	LARGE_PROMPT

}
