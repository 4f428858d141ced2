package org.banyancove.gateway.daemon;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.netty.channel.EventLoop;
import org.banyancove.gateway.shared.MonotonicClock;
import org.banyancove.gateway.shared.Topic;
import org.banyancove.gateway.shared.TopicPage;
import org.banyancove.gateway.shared.TopicRecord;
import org.banyancove.gateway.shared.TopicStore;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Follows a topic: reads the newest record of each key once, then the changes.
 * <p>
 * The records of a key are applied in the order of their offsets; a read that returns an
 * older state than the known one changes nothing. Once the topic was read, reading may be
 * delegated to other gateways, which relay what they read.
 */
final class TopicFollower {

	private static final Logger log = LoggerFactory.getLogger(TopicFollower.class);

	/**
	 * Interval of checks whether reads are still delegated: a fraction of the half second
	 * within which a missing reader must be noticed.
	 */
	private static final Duration DELEGATION_CHECK_INTERVAL = Duration.ofMillis(100);

	private final Topic topic;

	private final TopicStore topics;

	private final EventLoop eventLoop;

	private final MonotonicClock clock;

	private final PollingPolicy pollingPolicy;

	private final BooleanSupplier readsDelegated;

	private final Listener listener;

	private final FailureLog failureLog;

	private final Map<String, Long> offsets = new HashMap<>();

	private long nextOffset = -1;

	private long highestOffset = -1;

	private long requestedAt;

	private @Nullable Long confirmedAt;

	private long lastFailureAt = Long.MIN_VALUE;

	private int consecutiveFailures;

	private boolean complete;

	private long lastReadAt = Long.MIN_VALUE;

	private boolean relistingRequested;

	private boolean reading;

	private @Nullable ScheduledFuture<?> scheduledRead;

	private Set<String> listedKeys = new HashSet<>();

	private long listedEndOffset;

	TopicFollower(Topic topic, TopicStore topics, EventLoop eventLoop, MonotonicClock clock,
			PollingPolicy pollingPolicy, BooleanSupplier readsDelegated, Listener listener) {
		this.topic = topic;
		this.topics = topics;
		this.eventLoop = eventLoop;
		this.clock = clock;
		this.pollingPolicy = pollingPolicy;
		this.readsDelegated = readsDelegated;
		this.listener = listener;
		this.failureLog = new FailureLog(log, clock);
	}

	void start() {
		if (this.complete && !this.relistingRequested && this.readsDelegated.getAsBoolean()) {
			// Changes are relayed record by record, so the position in the topic becomes
			// outdated. The next own read therefore lists the topic again.
			this.nextOffset = -1;
			scheduleNextRead(DELEGATION_CHECK_INTERVAL);
			return;
		}
		this.requestedAt = this.clock.nanos();
		this.reading = true;
		if (this.nextOffset < 0 || this.relistingRequested) {
			this.relistingRequested = false;
			this.listedKeys = new HashSet<>();
			this.listedEndOffset = -1;
			readListing(null);
		}
		else {
			read(() -> this.topics.readChanges(this.topic, this.nextOffset, this.pollingPolicy.longPollTimeout()),
					this::applyChanges);
		}
	}

	/**
	 * Returns whether the topic was read completely at least once.
	 * @return whether the initial listing is complete
	 */
	boolean complete() {
		return this.complete;
	}

	/**
	 * Returns the age of the known state: the time since the store was last queried for
	 * it, by this gateway or by another one with the same state.
	 * @param now the current time
	 * @return the age, or {@code null} if the topic was never read
	 */
	@Nullable Duration age(long now) {
		return (this.confirmedAt != null) ? Duration.ofNanos(now - this.confirmedAt) : null;
	}

	/**
	 * Returns when the store was last queried for the known state.
	 * @return the monotonic time in ns, or {@code null} if the topic was never read
	 */
	@Nullable Long confirmedAt() {
		return this.confirmedAt;
	}

	/**
	 * Records that the known state was the complete state of the store at some time.
	 * @param at when the store was queried
	 */
	void confirm(long at) {
		if (this.confirmedAt == null || at > this.confirmedAt) {
			this.confirmedAt = at;
		}
	}

	/**
	 * Returns the time since the last failed read.
	 * @return the time, or {@code null} if no read failed
	 */
	@Nullable Duration timeSinceFailure() {
		return (this.lastFailureAt == Long.MIN_VALUE) ? null
				: Duration.ofNanos(this.clock.nanos() - this.lastFailureAt);
	}

	/**
	 * Applies a record that another gateway read and relayed.
	 * @param entry the record
	 */
	void applyRelayed(TopicRecord entry) {
		if (this.complete) {
			apply(entry);
		}
	}

	/** Requests a new listing of the topic, since a relayed record was lost. */
	void requestRelisting() {
		this.relistingRequested = true;
	}

	/** Reads the store now, unless a read is in progress. */
	void refresh() {
		if (this.reading || !this.complete) {
			return;
		}
		if (this.scheduledRead != null) {
			this.scheduledRead.cancel(false);
		}
		this.relistingRequested = this.nextOffset < 0 || this.readsDelegated.getAsBoolean();
		start();
	}

	/**
	 * Returns when the read in progress was sent to the store.
	 * @return the time, or {@code null} if no read is in progress
	 */
	@Nullable Long pendingReadStartedAt() {
		return this.reading ? Long.valueOf(this.requestedAt) : null;
	}

	/**
	 * Returns the number of consecutive reads that failed since the known state was
	 * confirmed.
	 * @return the number of reads
	 */
	int failuresSinceConfirmed() {
		return (this.confirmedAt == null || this.lastFailureAt > this.confirmedAt) ? this.consecutiveFailures : 0;
	}

	/**
	 * Returns whether the last read of the store succeeded and is recent.
	 * @param maximumAge the maximum age of the last read
	 * @return whether it is at most that old
	 */
	boolean hasReadWithin(Duration maximumAge) {
		return this.complete && this.consecutiveFailures == 0
				&& this.clock.nanos() - this.lastReadAt < maximumAge.toNanos();
	}

	/**
	 * Returns the offset up to which the topic is known, from own reads or relayed
	 * records.
	 * @return the offset of the next record
	 */
	long knownEndOffset() {
		return Math.max(this.nextOffset, this.highestOffset + 1);
	}

	// Each read schedules the next one: one that ended with an exception would be the
	// last.
	private void read(Supplier<CompletableFuture<TopicPage>> query, Consumer<TopicPage> reader) {
		CompletableFuture<TopicPage> result;
		try {
			result = query.get();
		}
		catch (RuntimeException ex) {
			result = CompletableFuture.failedFuture(ex);
		}
		result.whenComplete((page, failure) -> {
			if (page == null) {
				readFailed(failure);
				return;
			}
			readSucceeded();
			try {
				reader.accept(page);
			}
			catch (RuntimeException ex) {
				readFailed(ex);
			}
		});
	}

	private void readListing(@Nullable String after) {
		read(() -> this.topics.readLatest(this.topic, after), this::applyListing);
	}

	private void applyListing(TopicPage page) {
		if (this.listedEndOffset < 0) {
			this.listedEndOffset = page.nextOffset();
		}
		for (TopicRecord entry : page.records()) {
			this.listedKeys.add(entry.key());
			apply(entry);
		}
		if (page.nextKey() != null) {
			readListing(page.nextKey());
		}
		else {
			completeListing();
		}
	}

	private void completeListing() {
		for (String key : Set.copyOf(this.offsets.keySet())) {
			if (!this.listedKeys.contains(key) && this.offsets.getOrDefault(key, 0L) < this.listedEndOffset) {
				notifyListener(key, this.listedEndOffset, () -> this.listener.unlisted(key));
			}
		}
		this.nextOffset = this.listedEndOffset;
		this.complete = true;
		confirm(this.requestedAt);
		notifyListener("", this.nextOffset, () -> this.listener.readThrough(this.nextOffset));
		scheduleNextRead(this.pollingPolicy.pollInterval().get());
	}

	private void applyChanges(TopicPage page) {
		if (page.historyLost()) {
			log.atWarn()
				.addKeyValue("topic", this.topic)
				.addKeyValue("offset", this.nextOffset)
				.log("history was dropped");
			this.nextOffset = -1;
			start();
			return;
		}
		page.records().forEach(this::apply);
		boolean more = page.nextOffset() > this.nextOffset;
		this.nextOffset = page.nextOffset();
		if (!more || page.nextKey() == null) {
			confirm(this.requestedAt);
		}
		notifyListener("", this.nextOffset, () -> this.listener.readThrough(this.nextOffset));
		scheduleNextRead((more && page.nextKey() != null) ? Duration.ZERO : this.pollingPolicy.pollInterval().get());
	}

	private void apply(TopicRecord entry) {
		Long known = this.offsets.get(entry.key());
		if (known != null && known >= entry.offset()) {
			return;
		}
		this.offsets.put(entry.key(), entry.offset());
		this.highestOffset = Math.max(this.highestOffset, entry.offset());
		notifyListener(entry.key(), entry.offset(), () -> this.listener.changed(entry));
	}

	// Whatever a listener throws concerns one record of any writer; the others hold.
	private void notifyListener(String key, long offset, Runnable notification) {
		try {
			notification.run();
		}
		catch (Throwable ex) {
			this.failureLog.failed("record ignored", key, offset, ex);
		}
	}

	private void readSucceeded() {
		this.lastReadAt = this.clock.nanos();
		if (this.consecutiveFailures > 0) {
			this.consecutiveFailures = 0;
			log.atInfo().addKeyValue("topic", this.topic).log("store answers again");
		}
	}

	private void readFailed(@Nullable Throwable failure) {
		this.lastFailureAt = this.clock.nanos();
		this.consecutiveFailures++;
		if (this.consecutiveFailures == 1) {
			log.atWarn()
				.addKeyValue("topic", this.topic)
				.addKeyValue("cause", String.valueOf(failure))
				.log("store lost");
		}
		scheduleNextRead(this.pollingPolicy.retryDelay(this.consecutiveFailures));
	}

	private void scheduleNextRead(Duration delay) {
		this.reading = false;
		this.scheduledRead = this.eventLoop.schedule(this::start, delay.toMillis(), TimeUnit.MILLISECONDS);
	}

	/**
	 * Receives the records of a topic.
	 */
	interface Listener {

		/**
		 * Receives the newest record of a key.
		 * @param entry the record
		 */
		void changed(TopicRecord entry);

		/**
		 * Called for a key that is no longer listed although its removal was not read.
		 * @param key the key
		 */
		default void unlisted(String key) {
		}

		/**
		 * Called when a listing or a read of changes is complete.
		 * @param nextOffset the offset of the next record
		 */
		default void readThrough(long nextOffset) {
		}

	}

}
