package org.banyancove.gateway.daemon;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.netty.channel.EventLoop;
import org.banyancove.gateway.shared.SharedTopics;
import org.banyancove.gateway.shared.SteadyClock;
import org.banyancove.gateway.shared.Topic;
import org.banyancove.gateway.shared.TopicPage;
import org.banyancove.gateway.shared.TopicRecord;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Follows a topic: reads the newest of each key once, then what changed.
 * <p>
 * Each key's records are taken in the order of their offsets. A read that shows an older
 * state than is known changes nothing. Once the topic was read, reading may be left to
 * others that pass on what they read.
 */
final class TopicFollower {

	private static final Logger log = LoggerFactory.getLogger(TopicFollower.class);

	/**
	 * How often it looks whether reading is still left to others: a part of the half
	 * second within which they are missed.
	 */
	private static final Duration POLL_INTERVAL = Duration.ofMillis(100);

	private final Topic topic;

	private final SharedTopics topics;

	private final EventLoop eventLoop;

	private final SteadyClock clock;

	private final ReadPace pace;

	private final BooleanSupplier leftToOthers;

	private final Listener listener;

	private final Map<String, Long> offsets = new HashMap<>();

	private long next = -1;

	private long highest = -1;

	private long askedAt;

	private @Nullable Long confirmedAt;

	private long failedAt = Long.MIN_VALUE;

	private int failures;

	private boolean complete;

	private long readAt = Long.MIN_VALUE;

	private boolean readAnew;

	private boolean reading;

	private @Nullable ScheduledFuture<?> nextStart;

	private Set<String> listed = new HashSet<>();

	private long listedEnd;

	TopicFollower(Topic topic, SharedTopics topics, EventLoop eventLoop, SteadyClock clock, ReadPace pace,
			BooleanSupplier leftToOthers, Listener listener) {
		this.topic = topic;
		this.topics = topics;
		this.eventLoop = eventLoop;
		this.clock = clock;
		this.pace = pace;
		this.leftToOthers = leftToOthers;
		this.listener = listener;
	}

	void start() {
		if (this.complete && !this.readAnew && this.leftToOthers.getAsBoolean()) {
			// What changes meanwhile is passed on, record by record. Its own place in the
			// topic grows old, so that it lists all anew when it reads again.
			this.next = -1;
			again(POLL_INTERVAL);
			return;
		}
		this.askedAt = this.clock.nanos();
		this.reading = true;
		if (this.next < 0 || this.readAnew) {
			this.readAnew = false;
			this.listed = new HashSet<>();
			this.listedEnd = -1;
			readListed(null);
		}
		else {
			this.topics.changes(this.topic, this.next, this.pace.hold()).whenComplete(this::readChanges);
		}
	}

	/**
	 * Returns whether the whole topic was read once.
	 * @return whether it was
	 */
	boolean complete() {
		return this.complete;
	}

	/**
	 * Returns the age of what is known: since the store was last asked for it, by this
	 * gateway or by another that knows the same.
	 * @param now the present time
	 * @return the age, or {@code null} if the topic was never read
	 */
	@Nullable Duration age(long now) {
		return (this.confirmedAt != null) ? Duration.ofNanos(now - this.confirmedAt) : null;
	}

	/**
	 * Records that what is known was all that the store had at some time.
	 * @param at when the store was asked
	 */
	void confirmed(long at) {
		if (this.confirmedAt == null || at > this.confirmedAt) {
			this.confirmedAt = at;
		}
	}

	/**
	 * Returns how long ago a read failed last.
	 * @return the time, or {@code null} if none did
	 */
	@Nullable Duration sinceFailure() {
		return (this.failedAt == Long.MIN_VALUE) ? null : Duration.ofNanos(this.clock.nanos() - this.failedAt);
	}

	/**
	 * Applies a record that another gateway read.
	 * @param entry the record
	 */
	void relayed(TopicRecord entry) {
		if (this.complete) {
			take(entry);
		}
	}

	/** Lists the topic anew, since something that was passed on did not arrive. */
	void readAnew() {
		this.readAnew = true;
	}

	/** Reads the store now, unless a read is in progress. */
	void refresh() {
		if (this.reading || !this.complete) {
			return;
		}
		if (this.nextStart != null) {
			this.nextStart.cancel(false);
		}
		this.readAnew = this.next < 0 || this.leftToOthers.getAsBoolean();
		start();
	}

	/**
	 * Returns when the store was asked by the read that is in progress.
	 * @return the time, or {@code null} if none is in progress
	 */
	@Nullable Long unansweredSince() {
		return this.reading ? Long.valueOf(this.askedAt) : null;
	}

	/**
	 * Returns the reads in a row that have failed since what is known was confirmed.
	 * @return the number
	 */
	int failuresSinceConfirmed() {
		return (this.confirmedAt == null || this.failedAt > this.confirmedAt) ? this.failures : 0;
	}

	/**
	 * Returns whether it reads the store and did so of late.
	 * @param within how late
	 * @return whether it did
	 */
	boolean readWithin(Duration within) {
		return this.complete && this.failures == 0 && this.clock.nanos() - this.readAt < within.toNanos();
	}

	/**
	 * Returns up to where the topic is known, by its own reads or by others'.
	 * @return the offset of the next record
	 */
	long knownThrough() {
		return Math.max(this.next, this.highest + 1);
	}

	private void readListed(@Nullable String after) {
		this.topics.newest(this.topic, after).whenComplete((page, failure) -> {
			if (page == null) {
				failed(failure);
				return;
			}
			succeeded();
			if (this.listedEnd < 0) {
				this.listedEnd = page.next();
			}
			for (TopicRecord entry : page.records()) {
				this.listed.add(entry.key());
				take(entry);
			}
			if (page.more() != null) {
				readListed(page.more());
			}
			else {
				endListing();
			}
		});
	}

	private void endListing() {
		for (String key : Set.copyOf(this.offsets.keySet())) {
			if (!this.listed.contains(key) && this.offsets.getOrDefault(key, 0L) < this.listedEnd) {
				this.listener.missing(key);
			}
		}
		this.next = this.listedEnd;
		this.complete = true;
		confirmed(this.askedAt);
		this.listener.readThrough(this.next);
		again(this.pace.interval().get());
	}

	private void readChanges(@Nullable TopicPage page, @Nullable Throwable failure) {
		if (page == null) {
			failed(failure);
			return;
		}
		succeeded();
		if (page.historyLost()) {
			log.atWarn().addKeyValue("topic", this.topic).addKeyValue("offset", this.next).log("history was dropped");
			this.next = -1;
			start();
			return;
		}
		page.records().forEach(this::take);
		boolean more = page.next() > this.next;
		this.next = page.next();
		if (!more || page.more() == null) {
			confirmed(this.askedAt);
		}
		this.listener.readThrough(this.next);
		again((more && page.more() != null) ? Duration.ZERO : this.pace.interval().get());
	}

	private void take(TopicRecord entry) {
		Long known = this.offsets.get(entry.key());
		if (known != null && known >= entry.offset()) {
			return;
		}
		this.offsets.put(entry.key(), entry.offset());
		this.highest = Math.max(this.highest, entry.offset());
		this.listener.changed(entry);
	}

	private void succeeded() {
		this.readAt = this.clock.nanos();
		if (this.failures > 0) {
			this.failures = 0;
			log.atInfo().addKeyValue("topic", this.topic).log("store answers again");
		}
	}

	private void failed(@Nullable Throwable failure) {
		this.failedAt = this.clock.nanos();
		this.failures++;
		if (this.failures == 1) {
			log.atWarn()
				.addKeyValue("topic", this.topic)
				.addKeyValue("cause", String.valueOf(failure))
				.log("store lost");
		}
		again(this.pace.retryDelay(this.failures));
	}

	private void again(Duration delay) {
		this.reading = false;
		this.nextStart = this.eventLoop.schedule(this::start, delay.toMillis(), TimeUnit.MILLISECONDS);
	}

	/**
	 * Receives the records of a topic.
	 */
	interface Listener {

		/**
		 * Receives a key's newest record.
		 * @param entry the record
		 */
		void changed(TopicRecord entry);

		/**
		 * Called for a key that is no longer listed, though its end was not read.
		 * @param key the key
		 */
		default void missing(String key) {
		}

		/**
		 * Called when the topic was read.
		 * @param next the offset of the next record
		 */
		default void readThrough(long next) {
		}

	}

}
