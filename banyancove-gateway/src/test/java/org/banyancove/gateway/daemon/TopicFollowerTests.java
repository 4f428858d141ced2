package org.banyancove.gateway.daemon;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.embedded.EmbeddedChannel;
import org.banyancove.core.error.BanyancoveException;
import org.banyancove.core.error.ErrorKind;
import org.banyancove.gateway.shared.AppendOutcome;
import org.banyancove.gateway.shared.SharedTopics;
import org.banyancove.gateway.shared.Topic;
import org.banyancove.gateway.shared.TopicPage;
import org.banyancove.gateway.shared.TopicRecord;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class TopicFollowerTests {

	private final EmbeddedChannel channel = new EmbeddedChannel();

	private final ScriptedTopics topics = new ScriptedTopics();

	private final List<String> heard = new ArrayList<>();

	private boolean leftToOthers;

	private Duration maximumRetryDelay = Duration.ofMillis(250);

	private final TopicFollower follower = new TopicFollower(Topic.ENDPOINTS, this.topics, this.channel.eventLoop(),
			() -> 0, new ReadPace(() -> Duration.ofMillis(10), Duration.ZERO, () -> this.maximumRetryDelay),
			() -> this.leftToOthers, new TopicFollower.Listener() {
				@Override
				public void changed(TopicRecord entry) {
					byte[] value = entry.value();
					TopicFollowerTests.this.heard.add(entry.key()
							+ ((value != null) ? "=" + new String(value, StandardCharsets.US_ASCII) : " out"));
				}

				@Override
				public void missing(String key) {
					TopicFollowerTests.this.heard.add(key + " missing");
				}
			});

	@Test
	void readsAllOnceAndThenWhatChanges() {
		this.topics.newest.add(page(2, entry(0, "a", "1"), entry(1, "b", "1")));
		this.topics.changes.add(page(4, entry(2, "a", "2"), entry(3, "b", null)));
		play(1);
		assertThat(this.heard).containsExactly("a=1", "b=1", "a=2", "b out");
		assertThat(this.topics.asked).startsWith(2L);
		assertThat(this.follower.complete()).isTrue();
	}

	// The store dropped its history, and answers the full read from a state some seconds
	// old. What is known better must not be undone: an endpoint that was taken out stays
	// out.
	@Test
	void anOlderStateUndoesNothing() {
		this.topics.newest.add(page(2, entry(0, "a", "1"), entry(1, "b", "1")));
		this.topics.changes.add(page(4, entry(2, "b", null), entry(3, "c", "1")));
		this.topics.changes.add(new TopicPage(List.of(), 4, null, true));
		this.topics.newest.add(page(2, entry(0, "a", "1"), entry(1, "b", "1")));
		play(3);
		assertThat(this.heard).containsExactly("a=1", "b=1", "b out", "c=1");
	}

	// The history was dropped together with the end of an endpoint's entry. The full read
	// doesn't list it any more, which is all that tells of its end.
	@Test
	void aKeyThatIsNoLongerListedIsToldOf() {
		this.topics.newest.add(page(2, entry(0, "a", "1"), entry(1, "b", "1")));
		this.topics.changes.add(new TopicPage(List.of(), 2, null, true));
		this.topics.newest.add(page(5, entry(0, "a", "1")));
		play(2);
		assertThat(this.heard).containsExactly("a=1", "b=1", "b missing");
	}

	@Test
	void goesOnWhereItWasAfterAFailure() {
		this.topics.newest.add(page(1, entry(0, "a", "1")));
		this.topics.changes.add(null);
		this.topics.changes.add(page(2, entry(1, "a", "2")));
		play(3);
		assertThat(this.heard).containsExactly("a=1", "a=2");
		assertThat(this.topics.asked).startsWith(1L, 1L, 2L);
		assertThat(this.follower.sinceFailure()).isNotNull();
	}

	// Another gateway reads the store and passes on that an endpoint is out. The follower
	// asks the store nothing meanwhile. An older record of the endpoint arrives late and
	// must not bring it back.
	@Test
	void takesWhatOthersReadAndAsksNothingItself() {
		this.topics.newest.add(page(2, entry(0, "a", "1"), entry(1, "b", "1")));
		this.leftToOthers = true;
		play(1);
		this.follower.relayed(entry(5, "b", null));
		this.follower.relayed(entry(3, "b", "0"));
		assertThat(this.heard).containsExactly("a=1", "b=1", "b out");
		assertThat(this.topics.asked).isEmpty();
		assertThat(this.follower.knownThrough()).isEqualTo(6);
	}

	// The gateways that read die, or something that they passed on was lost. All that was
	// missed meanwhile shows in a new listing, also that an endpoint is gone.
	@Test
	void listsAnewWhenNobodyReadsForItAnyMoreOrSomethingWasLost() {
		this.topics.newest.add(page(2, entry(0, "a", "1"), entry(1, "b", "1")));
		this.leftToOthers = true;
		play(1);
		this.topics.newest.add(page(9, entry(8, "a", "2")));
		this.leftToOthers = false;
		advance(1);
		assertThat(this.heard).containsExactly("a=1", "b=1", "a=2", "b missing");
		this.leftToOthers = true;
		advance(1);
		this.topics.newest.add(page(12, entry(11, "a", "3")));
		this.follower.readAnew();
		advance(1);
		assertThat(this.heard).contains("a=3");
	}

	// Guards against a gateway that stood still and waits for its next turn to read.
	@Test
	void refreshesAtOnceThoughReadingIsLeftToOthers() {
		this.topics.newest.add(page(1, entry(0, "a", "1")));
		this.leftToOthers = true;
		play(1);
		this.topics.newest.add(page(9, entry(8, "a", "2")));
		this.follower.refresh();
		assertThat(this.heard).containsExactly("a=1", "a=2");
		advance(1);
		assertThat(this.topics.newest).isEmpty();
	}

	// Guards against an outage in which a fleet spends its calls on reads that fail: at
	// 95
	// gateways, hundreds a second.
	@Test
	void readsLessAndLessOftenWhileReadsFail() {
		this.topics.newest.add(page(1, entry(0, "a", "1")));
		this.maximumRetryDelay = Duration.ofSeconds(2);
		for (int i = 0; i < 100; i++) {
			this.topics.changes.add(null);
		}
		play(10);
		assertThat(this.topics.asked).hasSizeBetween(6, 8);
		this.maximumRetryDelay = Duration.ofMillis(250);
		this.topics.asked.clear();
		advance(10);
		assertThat(this.topics.asked).as("attempts of a gateway on which others rely").hasSizeBetween(30, 41);
	}

	private void play(int seconds) {
		this.follower.start();
		advance(seconds);
	}

	private void advance(int seconds) {
		for (int i = 0; i < seconds * 100; i++) {
			this.channel.advanceTimeBy(10, TimeUnit.MILLISECONDS);
			this.channel.runScheduledPendingTasks();
		}
	}

	private static TopicPage page(long next, TopicRecord... records) {
		return new TopicPage(List.of(records), next, null, false);
	}

	private static TopicRecord entry(long offset, String key, @Nullable String value) {
		return new TopicRecord(offset, key, (value != null) ? value.getBytes(StandardCharsets.US_ASCII) : null);
	}

	/**
	 * A store that answers as a test wrote it down, and then that nothing is new.
	 */
	private static final class ScriptedTopics implements SharedTopics {

		private final List<TopicPage> newest = new ArrayList<>();

		private final List<@Nullable TopicPage> changes = new ArrayList<>();

		private final List<Long> asked = new ArrayList<>();

		@Override
		public CompletableFuture<TopicPage> newest(Topic topic, @Nullable String after) {
			return CompletableFuture.completedFuture(this.newest.removeFirst());
		}

		@Override
		public CompletableFuture<TopicPage> changes(Topic topic, long from, Duration wait) {
			this.asked.add(from);
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
