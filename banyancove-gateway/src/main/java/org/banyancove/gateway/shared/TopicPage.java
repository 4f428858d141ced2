package org.banyancove.gateway.shared;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * A page of records of a topic.
 *
 * @param records the records
 * @param nextOffset the offset from which to read further changes
 * @param nextKey the key after which to read the next page, before any changes, or
 * {@code null} if this is the last page
 * @param historyLost whether changes were dropped, so that the latest record of each key
 * must be read again
 */
public record TopicPage(List<TopicRecord> records, long nextOffset, @Nullable String nextKey, boolean historyLost) {

	/**
	 * Creates the page.
	 */
	public TopicPage {
		records = List.copyOf(records);
	}

}
