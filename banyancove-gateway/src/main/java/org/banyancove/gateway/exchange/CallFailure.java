package org.banyancove.gateway.exchange;

/**
 * The reasons why a call to an endpoint has no complete response.
 */
public enum CallFailure {

	/** The connection could not be established; no byte of the request was sent. */
	NOT_SENT(false),

	/** The endpoint may no longer be used; no byte of the request was sent. */
	WITHDRAWN(false),

	/** The connection was closed, or the call cancelled, before a response began. */
	NO_ANSWER(true),

	/** The response was interrupted before its end. */
	BROKEN_ANSWER(true),

	/** The response cannot be decoded, or exceeds the size limit. */
	UNREADABLE(true);

	private final boolean mayHaveRun;

	CallFailure(boolean mayHaveRun) {
		this.mayHaveRun = mayHaveRun;
	}

	/**
	 * Returns whether the endpoint may have run the request.
	 * @return {@code false} if no byte of the request was sent
	 */
	public boolean mayHaveRun() {
		return this.mayHaveRun;
	}

}
