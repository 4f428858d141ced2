package org.banyancove.gateway.daemon;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.banyancove.gateway.shared.AppendOutcome;
import org.banyancove.gateway.shared.Topic;
import org.banyancove.gateway.shared.TopicPage;
import org.banyancove.gateway.shared.TopicRecord;
import org.banyancove.gateway.shared.TopicStore;
import org.jspecify.annotations.Nullable;

/**
 * A store in memory that all gateways of a test share.
 */
final class InMemoryTopicStore {

	private static final int RESPONSE_MILLIS = 2;

	private static final int CHECK_MILLIS = 20;

	private final Map<Topic, List<TopicRecord>> topics = new EnumMap<>(Topic.class);

	synchronized long append(Topic topic, String key, byte @Nullable [] value) {
		List<TopicRecord> records = this.topics.computeIfAbsent(topic, (name) -> new ArrayList<>());
		records.add(new TopicRecord(records.size(), key, value));
		return records.size() - 1L;
	}

	private synchronized long end(Topic topic) {
		return this.topics.getOrDefault(topic, List.of()).size();
	}

	private synchronized TopicPage latest(Topic topic) {
		Map<String, TopicRecord> byKey = new LinkedHashMap<>();
		this.topics.getOrDefault(topic, List.of()).forEach((entry) -> byKey.put(entry.key(), entry));
		byKey.values().removeIf((entry) -> entry.value() == null);
		return new TopicPage(List.copyOf(byKey.values()), end(topic), null, false);
	}

	private synchronized TopicPage changes(Topic topic, long from) {
		List<TopicRecord> records = this.topics.getOrDefault(topic, List.of());
		return new TopicPage(records.subList((int) from, records.size()), records.size(), null, false);
	}

	TopicStore client(EventLoop eventLoop) {
		return new Client(eventLoop);
	}

	/**
	 * The store as one gateway uses it.
	 */
	private final class Client implements TopicStore {

		private final EventLoop eventLoop;

		Client(EventLoop eventLoop) {
			this.eventLoop = eventLoop;
		}

		@Override
		public CompletableFuture<TopicPage> readLatest(Topic topic, @Nullable String afterKey) {
			CompletableFuture<TopicPage> future = new CompletableFuture<>();
			this.eventLoop.schedule(() -> future.complete(latest(topic)), RESPONSE_MILLIS, TimeUnit.MILLISECONDS);
			return future;
		}

		@Override
		public CompletableFuture<TopicPage> readChanges(Topic topic, long fromOffset, Duration maximumWait) {
			CompletableFuture<TopicPage> future = new CompletableFuture<>();
			await(future, topic, fromOffset, System.nanoTime() + maximumWait.toNanos());
			return future;
		}

		private void await(CompletableFuture<TopicPage> future, Topic topic, long from, long deadline) {
			this.eventLoop.schedule(() -> {
				if (end(topic) > from || System.nanoTime() >= deadline) {
					future.complete(changes(topic, from));
				}
				else {
					await(future, topic, from, deadline);
				}
			}, CHECK_MILLIS, TimeUnit.MILLISECONDS);
		}

		@Override
		public CompletableFuture<AppendOutcome> append(Topic topic, String key, byte[] value) {
			long offset = InMemoryTopicStore.this.append(topic, key, value);
			return CompletableFuture.completedFuture(new AppendOutcome.Appended(offset));
		}

		@Override
		public CompletableFuture<AppendOutcome> appendAt(Topic topic, String key, byte[] value, long expectedEnd) {
			synchronized (InMemoryTopicStore.this) {
				long end = end(topic);
				return (end == expectedEnd) ? append(topic, key, value)
						: CompletableFuture.completedFuture(new AppendOutcome.Moved(end));
			}
		}

	}

}
