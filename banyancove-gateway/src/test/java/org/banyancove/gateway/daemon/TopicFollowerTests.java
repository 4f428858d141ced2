package org.banyancove.gateway.daemon;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import io.netty.channel.embedded.EmbeddedChannel;
import org.banyancove.core.error.BanyancoveException;
import org.banyancove.core.error.ErrorKind;
import org.banyancove.gateway.shared.AppendOutcome;
import org.banyancove.gateway.shared.Topic;
import org.banyancove.gateway.shared.TopicPage;
import org.banyancove.gateway.shared.TopicRecord;
import org.banyancove.gateway.shared.TopicStore;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

class TopicFollowerTests {

	private final EmbeddedChannel channel = new EmbeddedChannel();

	private final ScriptedTopics topics = new ScriptedTopics();

	private final List<String> received = new ArrayList<>();

	private boolean readsDelegated;

	private Duration maximumRetryDelay = Duration.ofMillis(250);

	private final TopicFollower follower = new TopicFollower(Topic.ENDPOINTS, this.topics, this.channel.eventLoop(),
			() -> 0, new PollingPolicy(() -> Duration.ofMillis(10), Duration.ZERO, () -> this.maximumRetryDelay),
			() -> this.readsDelegated, new TopicFollower.Listener() {
				@Override
				public void changed(TopicRecord entry) {
					throwFailure(entry.key());
					byte[] value = entry.value();
					TopicFollowerTests.this.received.add(entry.key()
							+ ((value != null) ? "=" + new String(value, StandardCharsets.US_ASCII) : " removed"));
				}

				@Override
				public void unlisted(String key) {
					throwFailure(key);
					TopicFollowerTests.this.received.add(key + " missing");
				}

				@Override
				public void readThrough(long nextOffset) {
					if (nextOffset == TopicFollowerTests.this.failingOffset) {
						throw new IllegalStateException("read through " + nextOffset);
					}
				}

			});

	private @Nullable Throwable failure;

	private long failingOffset = -1;

	private <E extends Throwable> void throwFailure(String key) throws E {
		if (this.failure != null && key.startsWith("odd")) {
			@SuppressWarnings("unchecked")
			E thrown = (E) this.failure;
			throw thrown;
		}
	}

	static List<Throwable> failures() {
		return List.of(new IllegalArgumentException("key must have at most 200 characters"), new StackOverflowError(),
				new AssertionError("unreadable"), new IOException("not expected"), new OutOfMemoryError());
	}

	// Guards against a topic that is not followed any more after one record that its
	// listener cannot handle, and against a gateway that never starts because of one.
	@ParameterizedTest
	@MethodSource("failures")
	void followsTheTopicAfterARecordThatCannotBeHandled(Throwable thrown) {
		this.failure = thrown;
		this.topics.newest.add(page(3, entry(0, "a", "1"), entry(1, "odd", "1"), entry(2, "b", "1")));
		this.topics.changes.add(page(6, entry(3, "odd", "2"), entry(4, "a", "2"), entry(5, "odd2", null)));
		this.topics.changes.add(new TopicPage(List.of(), 6, null, true));
		this.topics.newest.add(page(8, entry(4, "a", "2")));
		this.topics.changes.add(page(9, entry(8, "c", "1")));
		runFor(3);
		assertThat(this.received).containsExactly("a=1", "b=1", "a=2", "b missing", "c=1");
		assertThat(this.follower.complete()).isTrue();
	}

	// Guards against the same after many records at once.
	@Test
	void followsTheTopicAfterManyRecordsThatCannotBeHandled() {
		this.failure = new IllegalArgumentException("odd");
		List<TopicRecord> odd = IntStream.range(0, 5000).mapToObj((i) -> entry(i, "odd" + i, "1")).toList();
		this.topics.newest.add(new TopicPage(odd, 5000, null, false));
		this.topics.changes.add(page(5001, entry(5000, "a", "1")));
		runFor(1);
		assertThat(this.received).containsExactly("a=1");
	}

	// Guards against the same after a failure outside of a single record.
	@Test
	void followsTheTopicAfterAFailedReadThroughOrAStoreThatThrows() {
		this.failingOffset = 2;
		this.topics.newest.add(page(1, entry(0, "a", "1")));
		this.topics.changes.add(page(2, entry(1, "a", "2")));
		this.topics.throwsAtOffset = 2;
		runFor(1);
		this.topics.throwsAtOffset = -1;
		this.topics.changes.add(page(3, entry(2, "a", "3")));
		advance(1);
		assertThat(this.received).containsExactly("a=1", "a=2", "a=3");
	}

	@Test
	void readsTheListingOnceAndThenChanges() {
		this.topics.newest.add(page(2, entry(0, "a", "1"), entry(1, "b", "1")));
		this.topics.changes.add(page(4, entry(2, "a", "2"), entry(3, "b", null)));
		runFor(1);
		assertThat(this.received).containsExactly("a=1", "b=1", "a=2", "b removed");
		assertThat(this.topics.requestedOffsets).startsWith(2L);
		assertThat(this.follower.complete()).isTrue();
	}

	// Guards against an outdated full read after the store dropped its history: the
	// response is some seconds old and must not revert newer changes, such as the removal
	// of an endpoint.
	@Test
	void anOutdatedListingRevertsNothing() {
		this.topics.newest.add(page(2, entry(0, "a", "1"), entry(1, "b", "1")));
		this.topics.changes.add(page(4, entry(2, "b", null), entry(3, "c", "1")));
		this.topics.changes.add(new TopicPage(List.of(), 4, null, true));
		this.topics.newest.add(page(2, entry(0, "a", "1"), entry(1, "b", "1")));
		runFor(3);
		assertThat(this.received).containsExactly("a=1", "b=1", "b removed", "c=1");
	}

	// Guards against a missed removal: when the history is dropped together with the
	// removal of an endpoint, only its absence from the full read shows that it is gone.
	@Test
	void aKeyThatIsNoLongerListedIsReported() {
		this.topics.newest.add(page(2, entry(0, "a", "1"), entry(1, "b", "1")));
		this.topics.changes.add(new TopicPage(List.of(), 2, null, true));
		this.topics.newest.add(page(5, entry(0, "a", "1")));
		runFor(2);
		assertThat(this.received).containsExactly("a=1", "b=1", "b missing");
	}

	@Test
	void continuesAtTheSameOffsetAfterAFailure() {
		this.topics.newest.add(page(1, entry(0, "a", "1")));
		this.topics.changes.add(null);
		this.topics.changes.add(page(2, entry(1, "a", "2")));
		runFor(3);
		assertThat(this.received).containsExactly("a=1", "a=2");
		assertThat(this.topics.requestedOffsets).startsWith(1L, 1L, 2L);
		assertThat(this.follower.timeSinceFailure()).isNotNull();
	}

	// While another gateway reads the store and relays the removal of an endpoint, the
	// follower sends no reads. An older record of the endpoint that arrives late must not
	// restore it.
	@Test
	void appliesRelayedRecordsWithoutOwnReads() {
		this.topics.newest.add(page(2, entry(0, "a", "1"), entry(1, "b", "1")));
		this.readsDelegated = true;
		runFor(1);
		this.follower.applyRelayed(entry(5, "b", null));
		this.follower.applyRelayed(entry(3, "b", "0"));
		assertThat(this.received).containsExactly("a=1", "b=1", "b removed");
		assertThat(this.topics.requestedOffsets).isEmpty();
		assertThat(this.follower.knownEndOffset()).isEqualTo(6);
	}

	// When the readers die or a relayed record is lost, a new listing returns all missed
	// changes, including the removal of an endpoint.
	@Test
	void relistsWhenReadsAreNoLongerDelegatedOrARecordWasLost() {
		this.topics.newest.add(page(2, entry(0, "a", "1"), entry(1, "b", "1")));
		this.readsDelegated = true;
		runFor(1);
		this.topics.newest.add(page(9, entry(8, "a", "2")));
		this.readsDelegated = false;
		advance(1);
		assertThat(this.received).containsExactly("a=1", "b=1", "a=2", "b missing");
		this.readsDelegated = true;
		advance(1);
		this.topics.newest.add(page(12, entry(11, "a", "3")));
		this.follower.requestRelisting();
		advance(1);
		assertThat(this.received).contains("a=3");
	}

	// Guards against a gateway that was paused and waits for its next scheduled read.
	@Test
	void refreshesImmediatelyWhileReadsAreDelegated() {
		this.topics.newest.add(page(1, entry(0, "a", "1")));
		this.readsDelegated = true;
		runFor(1);
		this.topics.newest.add(page(9, entry(8, "a", "2")));
		this.follower.refresh();
		assertThat(this.received).containsExactly("a=1", "a=2");
		advance(1);
		assertThat(this.topics.newest).isEmpty();
	}

	// Guards against an outage in which a fleet spends its calls on failing reads:
	// hundreds per second for 95 gateways.
	@Test
	void backsOffWhileReadsFail() {
		this.topics.newest.add(page(1, entry(0, "a", "1")));
		this.maximumRetryDelay = Duration.ofSeconds(2);
		for (int i = 0; i < 100; i++) {
			this.topics.changes.add(null);
		}
		runFor(10);
		assertThat(this.topics.requestedOffsets).hasSizeBetween(6, 8);
		this.maximumRetryDelay = Duration.ofMillis(250);
		this.topics.requestedOffsets.clear();
		advance(10);
		assertThat(this.topics.requestedOffsets).as("attempts of a gateway on which others depend")
			.hasSizeBetween(30, 41);
	}

	private void runFor(int seconds) {
		this.follower.start();
		advance(seconds);
	}

	private void advance(int seconds) {
		for (int i = 0; i < seconds * 100; i++) {
			this.channel.advanceTimeBy(10, TimeUnit.MILLISECONDS);
			this.channel.runScheduledPendingTasks();
		}
	}

	private static TopicPage page(long nextOffset, TopicRecord... records) {
		return new TopicPage(List.of(records), nextOffset, null, false);
	}

	private static TopicRecord entry(long offset, String key, @Nullable String value) {
		return new TopicRecord(offset, key, (value != null) ? value.getBytes(StandardCharsets.US_ASCII) : null);
	}

	/**
	 * A store that returns scripted pages, and then empty ones.
	 */
	private static final class ScriptedTopics implements TopicStore {

		private final List<TopicPage> newest = new ArrayList<>();

		private final List<@Nullable TopicPage> changes = new ArrayList<>();

		private final List<Long> requestedOffsets = new ArrayList<>();

		private long throwsAtOffset = -1;

		@Override
		public CompletableFuture<TopicPage> readLatest(Topic topic, @Nullable String after) {
			return CompletableFuture.completedFuture(this.newest.removeFirst());
		}

		@Override
		public CompletableFuture<TopicPage> readChanges(Topic topic, long from, Duration wait) {
			this.requestedOffsets.add(from);
			if (from == this.throwsAtOffset) {
				throw new IllegalStateException("no call can be made");
			}
			if (this.changes.isEmpty()) {
				return CompletableFuture.completedFuture(page(from));
			}
			TopicPage next = this.changes.removeFirst();
			return (next != null) ? CompletableFuture.completedFuture(next) : CompletableFuture
				.failedFuture(new BanyancoveException(ErrorKind.PLATFORM_UNREACHABLE, "no answer"));
		}

		@Override
		public CompletableFuture<AppendOutcome> append(Topic topic, String key, byte[] value) {
			throw new UnsupportedOperationException("append");
		}

		@Override
		public CompletableFuture<AppendOutcome> appendAt(Topic topic, String key, byte[] value, long expectedEnd) {
			throw new UnsupportedOperationException("appendAt");
		}

	}

}
