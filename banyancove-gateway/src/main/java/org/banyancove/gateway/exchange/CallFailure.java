package org.banyancove.gateway.exchange;

/**
 * Why a call to an endpoint has no whole answer.
 */
public enum CallFailure {

	/** No byte of the request left: the connection could not be made. */
	NOT_SENT(false),

	/** No byte of the request left: the endpoint may not be used any more. */
	WITHDRAWN(false),

	/** The connection ended, or was given up, before an answer began. */
	NO_ANSWER(true),

	/** The answer began and broke off. */
	BROKEN_ANSWER(true),

	/** The bytes are no answer. */
	UNREADABLE(true);

	private final boolean mayHaveRun;

	CallFailure(boolean mayHaveRun) {
		this.mayHaveRun = mayHaveRun;
	}

	/**
	 * Returns whether the endpoint may have run the request.
	 * @return whether it may have
	 */
	public boolean mayHaveRun() {
		return this.mayHaveRun;
	}

}
