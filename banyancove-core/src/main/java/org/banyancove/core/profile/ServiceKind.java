package org.banyancove.core.profile;

/**
 * The kind of endpoints of a service.
 */
public enum ServiceKind {

	/** Model engines that stream tokens. */
	MODEL,

	/** Plain HTTP services, some of whose calls may not be repeated. */
	PLAIN

}
