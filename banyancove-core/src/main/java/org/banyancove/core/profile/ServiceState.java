package org.banyancove.core.profile;

/**
 * Whether a service accepts new requests.
 */
public enum ServiceState {

	/** The service accepts new requests. */
	ACTIVE,

	/** The service refuses new requests and completes accepted ones. */
	RETIRED

}
