package org.banyancove.core.ledger;

import java.time.Duration;

/**
 * The result of an append, as known to its author.
 */
public sealed interface AppendResult {

	/**
	 * The log has appended the records.
	 *
	 * @param first the offset of the first record
	 * @param last the offset of the last record
	 */
	record Appended(long first, long last) implements AppendResult {

	}

	/**
	 * The log has certainly not appended the records. If this is uncertain, the result is
	 * {@link Unanswered}.
	 *
	 * @param retryAfter the retry delay
	 */
	record Refused(Duration retryAfter) implements AppendResult {

	}

	/**
	 * The log may have appended the records, or may still append them later.
	 */
	record Unanswered() implements AppendResult {

	}

}
