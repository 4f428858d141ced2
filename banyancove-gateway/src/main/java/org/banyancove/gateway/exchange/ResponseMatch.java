package org.banyancove.gateway.exchange;

/**
 * Whether a response belongs to a call, as far as its head shows.
 */
public enum ResponseMatch {

	/** It names the call, or responses on the connection name none. */
	OWN,

	/**
	 * It names no call, though responses do: on a connection that carried others before,
	 * it may be a late duplicate of one of theirs.
	 */
	UNIDENTIFIED,

	/**
	 * It names no call and isn't sealed, so that no call can have it as its response on
	 * such a connection.
	 */
	UNREADABLE,

	/** It names another call. */
	OTHER,

	/** It names several calls, or has several seals, and can't be any call's response. */
	CONTRADICTORY

}
