package org.banyancove.gateway.daemon;

import java.util.List;

import org.banyancove.gateway.shared.Topic;
import org.banyancove.gateway.shared.TopicRecord;
import org.jspecify.annotations.Nullable;

/**
 * Changed records that a gateway read from the store and relays to others.
 *
 * @param topic the topic of the records
 * @param records the records
 * @param millisSinceFailure the time since the last failed read of the gateway that read
 * the records, in ms, or {@code null} if none failed
 */
record RelayedRecords(Topic topic, List<TopicRecord> records, @Nullable Long millisSinceFailure) {

	/**
	 * Creates the message.
	 */
	RelayedRecords {
		records = List.copyOf(records);
	}

}
