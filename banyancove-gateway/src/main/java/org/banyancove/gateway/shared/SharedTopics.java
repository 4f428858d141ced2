package org.banyancove.gateway.shared;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import org.jspecify.annotations.Nullable;

/**
 * The platform's store, as gateways use it.
 * <p>
 * Futures complete on the event loop's thread. One that completes exceptionally leaves
 * open whether the call was carried out.
 */
public interface SharedTopics {

	/**
	 * Reads the newest record of each key.
	 * @param topic the topic
	 * @param after the key after which to go on, or {@code null} to begin
	 * @return a page of the records
	 */
	CompletableFuture<TopicPage> newest(Topic topic, @Nullable String after);

	/**
	 * Reads what was appended since.
	 * @param topic the topic
	 * @param from the offset to begin at
	 * @param wait how long the store may wait for something new
	 * @return the records, none if there is nothing new
	 */
	CompletableFuture<TopicPage> changes(Topic topic, long from, Duration wait);

	/**
	 * Appends a record.
	 * @param topic the topic
	 * @param key the record's key
	 * @param value its content
	 * @return what became of it
	 */
	CompletableFuture<AppendOutcome> append(Topic topic, String key, byte[] value);

	/**
	 * Appends a record if the topic still ends where the writer last saw its end.
	 * @param topic the topic
	 * @param key the record's key
	 * @param value its content
	 * @param expectedEnd the offset at which the topic must end
	 * @return what became of it
	 */
	CompletableFuture<AppendOutcome> appendAt(Topic topic, String key, byte[] value, long expectedEnd);

}
