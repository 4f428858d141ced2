package org.banyancove.gateway.daemon;

import java.util.List;

import org.banyancove.gateway.shared.Topic;
import org.banyancove.gateway.shared.TopicRecord;
import org.jspecify.annotations.Nullable;

/**
 * Records that changed something, as one gateway read them and passes them on.
 *
 * @param topic the topic
 * @param records the records
 * @param outageMillis how long ago the store failed its reader last, in ms, or
 * {@code null} if it never did
 */
record RelayedRecords(Topic topic, List<TopicRecord> records, @Nullable Long outageMillis) {

	/**
	 * Creates the message.
	 */
	RelayedRecords {
		records = List.copyOf(records);
	}

}
