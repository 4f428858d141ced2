package org.banyancove.gateway.daemon;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;

import io.netty.channel.EventLoop;
import org.banyancove.core.EndpointId;
import org.banyancove.gateway.configuration.Configuration;
import org.banyancove.gateway.duty.SharedStateVersion;
import org.banyancove.gateway.endpoint.EndpointEntry;
import org.banyancove.gateway.endpoint.EndpointTable;
import org.banyancove.gateway.rollout.RolloutOrder;
import org.banyancove.gateway.shared.MonotonicClock;
import org.banyancove.gateway.shared.RecordCodec;
import org.banyancove.gateway.shared.Topic;
import org.banyancove.gateway.shared.TopicRecord;
import org.banyancove.gateway.shared.TopicStore;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the configuration and the endpoint table up to date, from own reads of the store
 * or from records that other gateways relay.
 */
final class SharedStateFollower {

	private static final Logger log = LoggerFactory.getLogger(SharedStateFollower.class);

	/**
	 * Long-poll timeout of configuration reads. A change must be in force within two
	 * seconds. The timeout is a compromise: calls are billed, but a long poll can miss a
	 * change that arrives as it begins, and a connection can become unresponsive.
	 */
	private static final Duration CONFIGURATION_LONG_POLL_TIMEOUT = Duration.ofMillis(1200);

	/**
	 * Interval between two long polls of the configuration, so that changes in quick
	 * succession are read together.
	 */
	private static final Duration CONFIGURATION_POLL_INTERVAL = Duration.ofMillis(100);

	/**
	 * Poll interval of the endpoints' topic. Endpoints write every second, so a long poll
	 * would return at once. The interval is less than half of the two seconds after which
	 * a draining endpoint must receive no more requests.
	 */
	private static final Duration ENDPOINTS_POLL_INTERVAL = Duration.ofMillis(850);

	/**
	 * Age of the last read of the endpoints' topic above which this gateway does not
	 * count as a reader for others: the poll interval plus a slow response.
	 */
	private static final Duration MAXIMUM_ENDPOINTS_READ_AGE = Duration.ofMillis(1100);

	/** The same for the configuration, which is read by long polls. */
	private static final Duration MAXIMUM_CONFIGURATION_READ_AGE = Duration.ofMillis(1600);

	/**
	 * Time after which a state that another gateway knows and this one lacks is read from
	 * the store. A relayed record arrives within a few milliseconds or is lost.
	 */
	private static final Duration RELAY_TIMEOUT = Duration.ofMillis(300);

	/**
	 * Fraction of the change deadline: with an older state, a gateway no longer delegates
	 * its reads.
	 */
	private static final double DELEGATION_AGE_RATIO = 0.65;

	/**
	 * Fraction of the change deadline: with an older state, no request is sent until the
	 * store was read. The remaining time covers the transfer to the endpoint.
	 */
	private static final double ROUTING_AGE_RATIO = 0.9;

	/**
	 * Ticks without a response to a read, not counting the tick that first observed the
	 * read, after which the store counts as unavailable.
	 */
	private static final int UNANSWERED_TICKS_THRESHOLD = 2;

	/** Consecutive failed reads after which the store counts as unavailable. */
	private static final int FAILED_READS_THRESHOLD = 2;

	/**
	 * Maximum number of records in a datagram; compressed, they take a fraction of its
	 * maximum size.
	 */
	private static final int MAXIMUM_RELAYED_RECORDS = 50;

	/**
	 * Maximum size of a relayed configuration record. A larger one would not fit into a
	 * datagram; other gateways read it from the store when a summary shows that it is
	 * newer.
	 */
	private static final int MAXIMUM_RELAYED_BYTES = 16 * 1024;

	private final RecordCodec recordCodec;

	private final EndpointTable endpoints;

	private final MonotonicClock clock;

	private final BooleanSupplier readsDelegated;

	private final Consumer<RelayedRecords> relay;

	private final Consumer<RelayedRecords> forward;

	private final Consumer<Configuration> configurationListener;

	private final Predicate<RolloutOrder> rolloutOrderListener;

	private final Duration changeDeadline;

	private final TopicFollower configurationFollower;

	private final TopicFollower endpointFollower;

	private final Map<EndpointId, Long> digests = new HashMap<>();

	private final List<TopicRecord> recordsToRelay = new ArrayList<>();

	private final List<TopicRecord> recordsToForward = new ArrayList<>();

	private @Nullable Configuration configuration;

	private long configurationOffset = -1;

	private @Nullable RelayedRecords currentRelay;

	private @Nullable Long endpointsBehindSince;

	private @Nullable Long configurationBehindSince;

	private boolean endpointsOutdated;

	private @Nullable Long pendingRead;

	private int unansweredTicks;

	/**
	 * Creates the follower.
	 * @param topics the store
	 * @param eventLoop the event loop that runs all work
	 * @param clock the monotonic clock
	 * @param recordCodec the codec of records
	 * @param endpoints the table to keep up to date
	 * @param readsDelegated whether other gateways read the store for this one
	 * @param maximumRetryDelay the maximum delay between two attempts while reads fail
	 * @param relay relays records that this gateway read
	 * @param forward forwards records that another gateway read and that were new here
	 * @param configurationListener receives each configuration
	 * @param rolloutOrderListener receives each rollout order and returns whether it is
	 * new
	 * @param changeDeadline the time within which a change in the store must be in force
	 */
	SharedStateFollower(TopicStore topics, EventLoop eventLoop, MonotonicClock clock, RecordCodec recordCodec,
			EndpointTable endpoints, BooleanSupplier readsDelegated, Supplier<Duration> maximumRetryDelay,
			Consumer<RelayedRecords> relay, Consumer<RelayedRecords> forward,
			Consumer<Configuration> configurationListener, Predicate<RolloutOrder> rolloutOrderListener,
			Duration changeDeadline) {
		this.recordCodec = recordCodec;
		this.endpoints = endpoints;
		this.clock = clock;
		this.readsDelegated = () -> readsDelegated.getAsBoolean()
				&& !endpointsOlderThan(DELEGATION_AGE_RATIO, clock.nanos());
		this.relay = relay;
		this.forward = forward;
		this.configurationListener = configurationListener;
		this.rolloutOrderListener = rolloutOrderListener;
		this.changeDeadline = changeDeadline;
		this.configurationFollower = new TopicFollower(
				Topic.CONFIGURATION, topics, eventLoop, clock, new PollingPolicy(() -> CONFIGURATION_POLL_INTERVAL,
						CONFIGURATION_LONG_POLL_TIMEOUT, maximumRetryDelay),
				this.readsDelegated, this::configurationChanged);
		this.endpointFollower = new TopicFollower(Topic.ENDPOINTS, topics, eventLoop, clock,
				new PollingPolicy(() -> ENDPOINTS_POLL_INTERVAL, Duration.ZERO, maximumRetryDelay), this.readsDelegated,
				new EndpointListener());
	}

	void start() {
		this.configurationFollower.start();
		this.endpointFollower.start();
	}

	/**
	 * Returns whether the configuration and all endpoints were read at least once.
	 * @return whether the initial state is complete
	 */
	boolean complete() {
		return this.configuration != null && this.endpointFollower.complete();
	}

	SharedStateVersion sharedStateVersion() {
		boolean readsStore = this.endpointFollower.hasReadWithin(MAXIMUM_ENDPOINTS_READ_AGE)
				&& this.configurationFollower.hasReadWithin(MAXIMUM_CONFIGURATION_READ_AGE);
		long digest = this.digests.values().stream().mapToLong(Long::longValue).sum();
		return new SharedStateVersion(readsStore, this.endpointFollower.knownEndOffset(), digest,
				endpointsAge(this.clock.nanos()), this.configurationOffset);
	}

	/**
	 * Returns the age of the known endpoints.
	 * @param now the current time
	 * @return the time since the store was last queried for them
	 */
	Duration endpointsAge(long now) {
		Duration age = this.endpointFollower.age(now);
		return (age != null) ? age : SharedStateVersion.UNKNOWN_AGE;
	}

	/**
	 * Returns when the store last confirmed the known endpoints.
	 * @return the monotonic time in ns, or {@code null} if they were never read
	 */
	@Nullable Long endpointsConfirmedAt() {
		return this.endpointFollower.confirmedAt();
	}

	/**
	 * Applies records that another gateway read and relayed.
	 * @param records the records
	 */
	void applyRelayed(RelayedRecords records) {
		TopicFollower follower = switch (records.topic()) {
			case CONFIGURATION -> this.configurationFollower;
			case ENDPOINTS -> this.endpointFollower;
			case GATEWAYS, STATUS, LEASES ->
				throw new IllegalArgumentException("topic must be CONFIGURATION or ENDPOINTS: " + records.topic());
		};
		this.currentRelay = records;
		try {
			records.records().forEach(follower::applyRelayed);
		}
		finally {
			this.currentRelay = null;
		}
		if (!this.recordsToForward.isEmpty()) {
			this.forward
				.accept(new RelayedRecords(records.topic(), this.recordsToForward, records.millisSinceFailure()));
			this.recordsToForward.clear();
		}
	}

	/**
	 * Compares the state known here with that of a gateway that reads the store. A state
	 * that lacks records for longer than a relay takes has lost them in transit and is
	 * read from the store.
	 * @param mostRecent the most recent state of a reader
	 * @param now the current time
	 */
	void reconcile(SharedStateVersion mostRecent, long now) {
		SharedStateVersion own = sharedStateVersion();
		if (own.endpointsConfirmedBy(mostRecent)) {
			this.endpointFollower.confirm(now - mostRecent.endpointsAge().toNanos());
		}
		countUnansweredTicks();
		logStaleness(now);
		boolean following = mostRecent.readsStore() && this.readsDelegated.getAsBoolean();
		this.endpointsBehindSince = behindSince(following && own.endpointsStaleComparedTo(mostRecent),
				this.endpointsBehindSince, this.endpointFollower, now);
		this.configurationBehindSince = behindSince(
				following && mostRecent.configurationOffset() > own.configurationOffset(),
				this.configurationBehindSince, this.configurationFollower, now);
	}

	private boolean endpointsOlderThan(double deadlineRatio, long now) {
		return endpointsAge(now).toNanos() > this.changeDeadline.toNanos() * deadlineRatio;
	}

	/**
	 * Returns whether the known endpoints are recent enough to send them requests; if
	 * they are not, reads them.
	 * <p>
	 * A gateway that was paused, or that has lost its readers, would send requests to an
	 * endpoint that has left. While the store is unavailable, there is no newer state to
	 * wait for.
	 * @param now the current time
	 * @return whether requests may be sent
	 */
	boolean endpointsCurrent(long now) {
		if (!complete() || !endpointsOlderThan(ROUTING_AGE_RATIO, now)) {
			return true;
		}
		if (storeUnavailable()) {
			return true;
		}
		this.endpointFollower.refresh();
		return false;
	}

	/**
	 * Returns whether the known endpoints were confirmed since a time; if they were not,
	 * reads them, unless the last read failed and is retried anyway.
	 * @param time the time
	 * @param now the current time
	 * @return whether they were the state of the store at that time or later
	 */
	boolean endpointsConfirmedSince(long time, long now) {
		Duration age = this.endpointFollower.age(now);
		if (age != null && now - age.toNanos() >= time) {
			return true;
		}
		if (this.endpointFollower.failuresSinceConfirmed() == 0) {
			this.endpointFollower.refresh();
		}
		return false;
	}

	/**
	 * Returns whether reads of the endpoints fail. A single failed read is not
	 * sufficient: it may have timed out while this process was paused.
	 * @return whether several reads in a row have failed since they were confirmed
	 */
	boolean storeFailing() {
		return this.endpointFollower.failuresSinceConfirmed() >= FAILED_READS_THRESHOLD;
	}

	private boolean storeUnavailable() {
		return storeFailing() || this.unansweredTicks >= UNANSWERED_TICKS_THRESHOLD;
	}

	private void countUnansweredTicks() {
		Long startedAt = this.endpointFollower.pendingReadStartedAt();
		if (startedAt != null && startedAt.equals(this.pendingRead)) {
			this.unansweredTicks++;
		}
		else if (this.endpointFollower.failuresSinceConfirmed() == 0) {
			this.unansweredTicks = 0;
		}
		this.pendingRead = startedAt;
	}

	private void logStaleness(long now) {
		Duration age = endpointsAge(now);
		boolean stale = complete() && age.compareTo(this.changeDeadline) > 0;
		if (stale != this.endpointsOutdated) {
			this.endpointsOutdated = stale;
			log.atWarn()
				.addKeyValue("ageMs", age.toMillis())
				.addKeyValue("readByOthers", this.readsDelegated.getAsBoolean())
				.log(stale ? "endpoints outdated" : "endpoints confirmed again");
		}
	}

	private static @Nullable Long behindSince(boolean behind, @Nullable Long since, TopicFollower follower, long now) {
		if (!behind) {
			return null;
		}
		if (since != null && now - since > RELAY_TIMEOUT.toNanos()) {
			follower.requestRelisting();
			return null;
		}
		return (since != null) ? since : Long.valueOf(now);
	}

	private void configurationChanged(TopicRecord entry) {
		if (entry.value() == null) {
			return;
		}
		if (!this.recordCodec.isConfiguration(entry.key())) {
			applyRolloutOrder(entry, entry.value());
			return;
		}
		Configuration newest;
		try {
			newest = this.recordCodec.readConfiguration(entry.value());
		}
		catch (RuntimeException | StackOverflowError ex) {
			log.atError()
				.addKeyValue("offset", entry.offset())
				.addKeyValue("cause", ex.toString())
				.log("configuration unreadable");
			return;
		}
		this.configurationOffset = Math.max(this.configurationOffset, entry.offset());
		if (this.configuration != null && newest.version() <= this.configuration.version()) {
			return;
		}
		this.configuration = newest;
		log.atInfo()
			.addKeyValue("version", newest.version())
			.addKeyValue("routes", newest.routes().size())
			.addKeyValue("accounts", newest.accounts().size())
			.addKeyValue("passedOn", this.currentRelay != null)
			.log("configuration taken");
		this.configurationListener.accept(newest);
		relayOrForward(entry, entry.value());
	}

	private void applyRolloutOrder(TopicRecord entry, byte[] value) {
		RolloutOrder order;
		try {
			order = this.recordCodec.readRollout(entry.key(), value, entry.offset());
		}
		catch (RuntimeException | StackOverflowError ex) {
			log.atError()
				.addKeyValue("offset", entry.offset())
				.addKeyValue("cause", ex.toString())
				.log("rollout order unreadable");
			return;
		}
		if (order == null) {
			return;
		}
		this.configurationOffset = Math.max(this.configurationOffset, entry.offset());
		if (this.rolloutOrderListener.test(order)) {
			log.atInfo()
				.addKeyValue("service", order.service())
				.addKeyValue("candidate", order.candidate())
				.addKeyValue("durationMs", order.duration().toMillis())
				.addKeyValue("passedOn", this.currentRelay != null)
				.log("rollout ordered");
			relayOrForward(entry, value);
		}
	}

	private void relayOrForward(TopicRecord entry, byte[] value) {
		if (value.length > MAXIMUM_RELAYED_BYTES) {
			return;
		}
		if (this.currentRelay != null) {
			this.recordsToForward.add(entry);
		}
		else if (this.configurationFollower.complete()) {
			this.relay.accept(new RelayedRecords(Topic.CONFIGURATION, List.of(entry), null));
		}
	}

	// Deterministic across processes, unlike identity hashes. The multiplication spreads
	// the values so that sums of different entries differ.
	private static long digest(EndpointEntry entry) {
		long mixed = Objects.hash(entry.id().value(), entry.service().value(), entry.version(),
				entry.address().toString(), entry.dataCenter().value(), entry.slots(), entry.draining(),
				entry.reclaimable(), entry.startedAt());
		return mixed * 0x9e3779b97f4a7c15L;
	}

	/**
	 * Applies the records of endpoints.
	 */
	private final class EndpointListener implements TopicFollower.Listener {

		private final FailureLog failureLog = new FailureLog(log, SharedStateFollower.this.clock);

		@Override
		public void changed(TopicRecord entry) {
			// A key that cannot be an identifier is rejected here and was never listed.
			EndpointId id = new EndpointId(entry.key());
			if (entry.value() == null) {
				removeEndpoint(id, entry);
				return;
			}
			EndpointEntry read;
			try {
				read = SharedStateFollower.this.recordCodec.readEndpoint(id, entry.value());
			}
			catch (RuntimeException | StackOverflowError ex) {
				this.failureLog.failed("endpoint unreadable", entry.key(), entry.offset(), ex);
				SharedStateFollower.this.endpoints.remove(id, SharedStateFollower.this.clock.nanos());
				SharedStateFollower.this.digests.remove(id);
				return;
			}
			long digest = digest(read);
			Long previous = SharedStateFollower.this.digests.put(id, digest);
			if (previous == null || previous != digest) {
				log.atInfo()
					.addKeyValue("endpoint", id)
					.addKeyValue("service", read.service())
					.addKeyValue("version", read.version())
					.addKeyValue("address", read.address())
					.addKeyValue("zone", read.dataCenter())
					.addKeyValue("reclaimable", read.reclaimable())
					.addKeyValue("draining", read.draining())
					.addKeyValue("passedOn", SharedStateFollower.this.currentRelay != null)
					.log("endpoint listed");
				relayOrForward(entry);
			}
			SharedStateFollower.this.endpoints.put(read);
		}

		private void removeEndpoint(EndpointId id, @Nullable TopicRecord entry) {
			if (SharedStateFollower.this.digests.remove(id) == null) {
				return;
			}
			Duration timeSinceOutage = timeSinceOutage();
			log.atInfo()
				.addKeyValue("endpoint", id)
				.addKeyValue("sinceOutageMs", (timeSinceOutage != null) ? timeSinceOutage.toMillis() : null)
				.addKeyValue("passedOn", SharedStateFollower.this.currentRelay != null)
				.log("endpoint no longer listed");
			SharedStateFollower.this.endpoints.unlisted(id, timeSinceOutage, SharedStateFollower.this.clock.nanos());
			if (entry != null) {
				relayOrForward(entry);
			}
		}

		private @Nullable Duration timeSinceOutage() {
			RelayedRecords relayed = SharedStateFollower.this.currentRelay;
			if (relayed == null) {
				return SharedStateFollower.this.endpointFollower.timeSinceFailure();
			}
			return (relayed.millisSinceFailure() != null) ? Duration.ofMillis(relayed.millisSinceFailure()) : null;
		}

		private void relayOrForward(TopicRecord entry) {
			if (SharedStateFollower.this.currentRelay != null) {
				SharedStateFollower.this.recordsToForward.add(entry);
			}
			else if (SharedStateFollower.this.endpointFollower.complete()) {
				SharedStateFollower.this.recordsToRelay.add(entry);
			}
		}

		@Override
		public void unlisted(String key) {
			removeEndpoint(new EndpointId(key), null);
		}

		@Override
		public void readThrough(long nextOffset) {
			List<TopicRecord> all = SharedStateFollower.this.recordsToRelay;
			Duration sinceFailure = SharedStateFollower.this.endpointFollower.timeSinceFailure();
			for (int from = 0; from < all.size(); from += MAXIMUM_RELAYED_RECORDS) {
				SharedStateFollower.this.relay.accept(new RelayedRecords(Topic.ENDPOINTS,
						all.subList(from, Math.min(all.size(), from + MAXIMUM_RELAYED_RECORDS)),
						(sinceFailure != null) ? sinceFailure.toMillis() : null));
			}
			all.clear();
		}

	}

}
