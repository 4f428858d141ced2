package org.banyancove.gateway.exchange;

/**
 * The reasons why a call to an endpoint has no complete response.
 */
public enum CallFailure {

	/** The maximum number of connections is open; no byte of the request was sent. */
	NO_FREE_CONNECTION(false, false),

	/** The connection was refused; no byte of the request was sent. */
	CONNECT_REFUSED(false, false),

	/** The connection was not established in time; no byte of the request was sent. */
	CONNECT_TIMED_OUT(false, false),

	/** The endpoint may no longer be used; no byte of the request was sent. */
	WITHDRAWN(false, false),

	/** The connection was closed before a response began. */
	NO_ANSWER(true, true),

	/** The response was interrupted before its end. */
	BROKEN_ANSWER(true, true),

	/** The response, or its next event, did not arrive in time. */
	TIMED_OUT(true, false),

	/** The response cannot be decoded, or exceeds the size limit. */
	UNREADABLE(true, false);

	private final boolean mayHaveRun;

	private final boolean connectionLost;

	CallFailure(boolean mayHaveRun, boolean connectionLost) {
		this.mayHaveRun = mayHaveRun;
		this.connectionLost = connectionLost;
	}

	/**
	 * Returns whether the endpoint may have run the request.
	 * @return {@code false} if no byte of the request was sent
	 */
	public boolean mayHaveRun() {
		return this.mayHaveRun;
	}

	/**
	 * Returns whether the endpoint could not be connected.
	 * @return {@code false} if no connection was tried, or one was established
	 */
	public boolean endpointUnreachable() {
		return this == CONNECT_REFUSED || this == CONNECT_TIMED_OUT;
	}

	/**
	 * Returns whether the connection ended while the endpoint had the request.
	 * @return {@code true} if the endpoint may have crashed
	 */
	public boolean connectionLost() {
		return this.connectionLost;
	}

}
