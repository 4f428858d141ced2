package org.banyancove.platform;

import java.time.Duration;

/**
 * The known outcome of an append.
 */
public sealed interface AppendResult {

	/**
	 * The records were appended to the stream.
	 *
	 * @param firstOffset the first record's offset
	 * @param lastOffset the last record's offset
	 */
	record Appended(long firstOffset, long lastOffset) implements AppendResult {

	}

	/**
	 * The platform rejected the records.
	 *
	 * @param retryAfter the time after which to retry
	 * @param reason a description of the response, for the log
	 */
	record Refused(Duration retryAfter, String reason) implements AppendResult {

	}

	/**
	 * The outcome is unknown: the append may have taken effect, or may still do so
	 * minutes later. Only reading the stream for the records' identifiers determines it.
	 *
	 * @param reason the reason why the call failed, for the log
	 */
	record Unanswered(String reason) implements AppendResult {

	}

}
