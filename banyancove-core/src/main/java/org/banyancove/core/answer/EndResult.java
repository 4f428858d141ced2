package org.banyancove.core.answer;

/**
 * The result of ending an answer.
 */
public enum EndResult {

	/** The answer has ended. */
	ENDED,

	/** Pieces before the end are missing. */
	WAITING,

	/**
	 * The end is before the last received token and is not accepted, since the answer
	 * would be truncated.
	 */
	SHORT,

	/** The end belongs to a replaced attempt, or the answer has already ended. */
	STALE

}
