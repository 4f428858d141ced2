package org.banyancove.gateway.shared;

/**
 * The topics of shared state. Each is a log in which the latest record of a key
 * supersedes the earlier ones.
 */
public enum Topic {

	/** The configuration and rollout orders of operators. */
	CONFIGURATION,

	/** The registrations of endpoints. */
	ENDPOINTS,

	/** The addresses of gateways. */
	GATEWAYS,

	/** The status reports for operators. */
	STATUS,

	/** The lease of the gateway that makes calls on behalf of all gateways. */
	LEASES

}
