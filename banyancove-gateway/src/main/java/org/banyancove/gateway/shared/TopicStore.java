package org.banyancove.gateway.shared;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import org.jspecify.annotations.Nullable;

/**
 * A client of the platform's topic store.
 * <p>
 * Futures complete on the event loop thread. If one completes exceptionally, the outcome
 * of the call is unknown.
 */
public interface TopicStore {

	/**
	 * Reads the latest record of each key.
	 * @param topic the topic
	 * @param afterKey the key after which to continue, or {@code null} for the first page
	 * @return a page of records
	 */
	CompletableFuture<TopicPage> readLatest(Topic topic, @Nullable String afterKey);

	/**
	 * Reads the records appended from an offset on.
	 * @param topic the topic
	 * @param fromOffset the first offset to read
	 * @param maximumWait how long the store may wait for new records (long polling)
	 * @return a page of records; empty if there are no new ones
	 */
	CompletableFuture<TopicPage> readChanges(Topic topic, long fromOffset, Duration maximumWait);

	/**
	 * Appends a record.
	 * @param topic the topic
	 * @param key the record key
	 * @param value the record value
	 * @return the outcome
	 */
	CompletableFuture<AppendOutcome> append(Topic topic, String key, byte[] value);

	/**
	 * Appends a record if the topic ends at an expected offset (compare-and-append).
	 * @param topic the topic
	 * @param key the record key
	 * @param value the record value
	 * @param expectedEnd the end offset that the topic must have
	 * @return the outcome
	 */
	CompletableFuture<AppendOutcome> appendAt(Topic topic, String key, byte[] value, long expectedEnd);

}
