package org.banyancove.gateway.shared;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * A part of a topic.
 *
 * @param records its records
 * @param next where to go on reading changes
 * @param more the key after which more is to be read first, or {@code null}
 * @param historyLost whether changes were dropped, so that the whole has to be read again
 */
public record TopicPage(List<TopicRecord> records, long next, @Nullable String more, boolean historyLost) {

	/**
	 * Creates the page.
	 */
	public TopicPage {
		records = List.copyOf(records);
	}

}
