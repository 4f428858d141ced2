package org.banyancove.gateway.shared;

/**
 * The outcome of an append for which the store sent a response.
 */
public sealed interface AppendOutcome {

	/**
	 * The record was appended.
	 *
	 * @param offset the offset of the record
	 */
	record Appended(long offset) implements AppendOutcome {
	}

	/**
	 * The topic does not end at the expected offset; nothing was appended.
	 *
	 * @param end the current end offset
	 */
	record Moved(long end) implements AppendOutcome {
	}

}
