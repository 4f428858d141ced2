package org.banyancove.gateway.shared;

/**
 * What became of an append that had an answer.
 */
public sealed interface AppendOutcome {

	/**
	 * The record was appended.
	 *
	 * @param offset its place
	 */
	record Appended(long offset) implements AppendOutcome {
	}

	/**
	 * The topic did not end where it was said to; nothing was appended.
	 *
	 * @param end where it ends
	 */
	record Moved(long end) implements AppendOutcome {
	}

}
