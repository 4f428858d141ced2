package org.banyancove.platform;

import java.util.List;

/**
 * A page of a stream, ordered by offset.
 *
 * @param firstRetained the lowest offset that the platform retains
 * @param endOffset the offset of the next record to be appended to the stream
 * @param records the records from the requested offset on
 */
public record LogPage(long firstRetained, long endOffset, List<LogRecord> records) {

	/**
	 * Creates the page with an immutable copy of its records.
	 */
	public LogPage {
		records = List.copyOf(records);
	}

}
