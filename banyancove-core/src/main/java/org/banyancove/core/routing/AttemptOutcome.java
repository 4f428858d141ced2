package org.banyancove.core.routing;

/**
 * The outcome of an attempt at an endpoint.
 */
public enum AttemptOutcome {

	/** The complete answer was received. */
	COMPLETED,

	/** This entry or the caller cancelled the attempt; the endpoint did not fail. */
	CANCELLED,

	/** The endpoint rejected the attempt before running it, usually due to overload. */
	REFUSED,

	/** The endpoint answered with an error or an incomplete answer. */
	FAILED,

	/** The endpoint did not answer in time. */
	TIMED_OUT,

	/** The endpoint's process or VM ended while the attempt was running. */
	LOST;

	/**
	 * Returns whether the outcome indicates that the endpoint is overloaded.
	 * @return {@code true} if it does
	 */
	public boolean indicatesOverload() {
		return this == REFUSED || this == TIMED_OUT;
	}

	/**
	 * Returns whether the endpoint failed the attempt.
	 * @return {@code true} if it did
	 */
	public boolean isFailure() {
		return this != COMPLETED && this != CANCELLED;
	}

}
