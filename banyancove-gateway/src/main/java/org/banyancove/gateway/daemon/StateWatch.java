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
import org.banyancove.gateway.duty.KnownState;
import org.banyancove.gateway.endpoint.EndpointEntry;
import org.banyancove.gateway.endpoint.EndpointTable;
import org.banyancove.gateway.rollout.RolloutOrder;
import org.banyancove.gateway.shared.RecordCodec;
import org.banyancove.gateway.shared.SharedTopics;
import org.banyancove.gateway.shared.SteadyClock;
import org.banyancove.gateway.shared.Topic;
import org.banyancove.gateway.shared.TopicRecord;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps up with the configuration and the list of endpoints, by its own reads of the
 * store or by what other gateways pass on.
 */
final class StateWatch {

	private static final Logger log = LoggerFactory.getLogger(StateWatch.class);

	/**
	 * How long the store may hold a read of the configuration, which must be in force two
	 * seconds after a change. Calls are paid for; but a held read was seen to miss a
	 * change that came just as it began, and a connection may go silent.
	 */
	private static final Duration CONFIGURATION_WAIT = Duration.ofMillis(1200);

	/** Between two held reads: changes in quick succession are read together. */
	private static final Duration CONFIGURATION_INTERVAL = Duration.ofMillis(100);

	/**
	 * Endpoints write every second, so that a held read would return at once. Less than
	 * half of the two seconds after which a leaving endpoint must get nothing more.
	 */
	private static final Duration ENDPOINTS_INTERVAL = Duration.ofMillis(850);

	/**
	 * A gateway whose last read of the endpoints is older doesn't read for others: the
	 * interval and an answer that is slow.
	 */
	private static final Duration FRESH_ENDPOINTS = Duration.ofMillis(1100);

	/** The same for the configuration, whose reads are held. */
	private static final Duration FRESH_CONFIGURATION = Duration.ofMillis(1600);

	/**
	 * How long something may be missing that another gateway knows until it is read from
	 * the store: what was passed on arrives within some ms, or was lost.
	 */
	private static final Duration MISSING_TIMEOUT = Duration.ofMillis(300);

	/**
	 * Of the time within which a change must be in force, the age of what is known after
	 * which a gateway no longer relies on others to read.
	 */
	private static final double SHARE_TO_RELY = 0.65;

	/**
	 * Of that time, the age after which no request is sent until the store was read; the
	 * rest is left for the way to the endpoint.
	 */
	private static final double SHARE_TO_SEND = 0.9;

	/**
	 * Ticks, all of them after the one that first saw a read, without an answer to it,
	 * after which the store counts as unavailable.
	 */
	private static final int UNANSWERED_TICKS = 2;

	/** Failed reads in a row after which it does. */
	private static final int FAILED_READS = 2;

	/**
	 * Records in one datagram; compressed, they take a part of the most that it holds.
	 */
	private static final int MAXIMUM_RELAYED = 50;

	/**
	 * A larger configuration is not passed on, as it would not fit into a datagram;
	 * others read it when a summary shows that it is newer.
	 */
	private static final int MAXIMUM_RELAYED_BYTES = 16 * 1024;

	private final RecordCodec reader;

	private final EndpointTable endpoints;

	private final SteadyClock clock;

	private final BooleanSupplier leftToOthers;

	private final Consumer<RelayedRecords> relay;

	private final Consumer<RelayedRecords> forward;

	private final Consumer<Configuration> configured;

	private final Predicate<RolloutOrder> ordered;

	private final Duration changeDeadline;

	private final TopicFollower configurationFollower;

	private final TopicFollower endpointFollower;

	private final Map<EndpointId, Long> digests = new HashMap<>();

	private final List<TopicRecord> toRelay = new ArrayList<>();

	private final List<TopicRecord> toForward = new ArrayList<>();

	private @Nullable Configuration configuration;

	private long configurationOffset = -1;

	private @Nullable RelayedRecords relayed;

	private @Nullable Long endpointsMissingSince;

	private @Nullable Long configurationMissingSince;

	private boolean outdated;

	private @Nullable Long unansweredRead;

	private int unansweredTicks;

	/**
	 * Creates the watch.
	 * @param topics the store
	 * @param eventLoop runs everything
	 * @param clock the steady clock
	 * @param reader reads records
	 * @param endpoints the table that is kept up to date
	 * @param leftToOthers whether other gateways read the store for this one
	 * @param maximumRetryDelay the most between two attempts while reads fail
	 * @param relay passes on what was read
	 * @param forward passes on what another gateway read and was new here
	 * @param configured receives each configuration
	 * @param ordered receives each order of a rollout, and returns whether it is new
	 * @param changeDeadline the time within which a change in the store must be in force
	 */
	StateWatch(SharedTopics topics, EventLoop eventLoop, SteadyClock clock, RecordCodec reader, EndpointTable endpoints,
			BooleanSupplier leftToOthers, Supplier<Duration> maximumRetryDelay, Consumer<RelayedRecords> relay,
			Consumer<RelayedRecords> forward, Consumer<Configuration> configured, Predicate<RolloutOrder> ordered,
			Duration changeDeadline) {
		this.reader = reader;
		this.endpoints = endpoints;
		this.clock = clock;
		this.leftToOthers = () -> leftToOthers.getAsBoolean() && !olderThan(SHARE_TO_RELY, clock.nanos());
		this.relay = relay;
		this.forward = forward;
		this.configured = configured;
		this.ordered = ordered;
		this.changeDeadline = changeDeadline;
		this.configurationFollower = new TopicFollower(Topic.CONFIGURATION, topics, eventLoop, clock,
				new ReadPace(() -> CONFIGURATION_INTERVAL, CONFIGURATION_WAIT, maximumRetryDelay), this.leftToOthers,
				this::configurationChanged);
		this.endpointFollower = new TopicFollower(Topic.ENDPOINTS, topics, eventLoop, clock,
				new ReadPace(() -> ENDPOINTS_INTERVAL, Duration.ZERO, maximumRetryDelay), this.leftToOthers,
				new EndpointListener());
	}

	void start() {
		this.configurationFollower.start();
		this.endpointFollower.start();
	}

	/**
	 * Returns whether the configuration and all endpoints were read once.
	 * @return whether they were
	 */
	boolean complete() {
		return this.configuration != null && this.endpointFollower.complete();
	}

	KnownState known() {
		boolean reads = this.endpointFollower.readWithin(FRESH_ENDPOINTS)
				&& this.configurationFollower.readWithin(FRESH_CONFIGURATION);
		long digest = this.digests.values().stream().mapToLong(Long::longValue).sum();
		return new KnownState(reads, this.endpointFollower.knownThrough(), digest, endpointsAge(this.clock.nanos()),
				this.configurationOffset);
	}

	/**
	 * Returns the age of what is known of endpoints.
	 * @param now the present time
	 * @return the time since the store was last asked for it
	 */
	Duration endpointsAge(long now) {
		Duration age = this.endpointFollower.age(now);
		return (age != null) ? age : KnownState.UNKNOWN_AGE;
	}

	/**
	 * Applies records that another gateway read.
	 * @param records the records
	 */
	void relayed(RelayedRecords records) {
		TopicFollower follower = switch (records.topic()) {
			case CONFIGURATION -> this.configurationFollower;
			case ENDPOINTS -> this.endpointFollower;
			case GATEWAYS, STATUS, LEASES ->
				throw new IllegalArgumentException("topic is not passed on: " + records.topic());
		};
		this.relayed = records;
		try {
			records.records().forEach(follower::relayed);
		}
		finally {
			this.relayed = null;
		}
		if (!this.toForward.isEmpty()) {
			this.forward.accept(new RelayedRecords(records.topic(), this.toForward, records.outageMillis()));
			this.toForward.clear();
		}
	}

	/**
	 * Compares what is known here with what a gateway that reads the store knows. What is
	 * missing for longer than it takes to arrive was lost on the way, and is read.
	 * @param furthest what the other one knows
	 * @param now the present time
	 */
	void compare(KnownState furthest, long now) {
		KnownState own = known();
		if (own.confirmedBy(furthest)) {
			this.endpointFollower.confirmed(now - furthest.endpointsAge().toNanos());
		}
		countUnansweredTicks();
		recordAge(now);
		boolean following = furthest.reads() && this.leftToOthers.getAsBoolean();
		this.endpointsMissingSince = missingSince(following && own.missesEndpointsOf(furthest),
				this.endpointsMissingSince, this.endpointFollower, now);
		this.configurationMissingSince = missingSince(
				following && furthest.configurationOffset() > own.configurationOffset(), this.configurationMissingSince,
				this.configurationFollower, now);
	}

	private boolean olderThan(double shareOfDeadline, long now) {
		return endpointsAge(now).toNanos() > this.changeDeadline.toNanos() * shareOfDeadline;
	}

	/**
	 * Returns whether the endpoints are known recently enough to send them requests, and
	 * if not, reads them.
	 * <p>
	 * A gateway that stood still, or that others stopped reading for, would send to an
	 * endpoint that has left. While the store is unavailable there is nothing newer to
	 * wait for.
	 * @param now the present time
	 * @return whether requests may be sent
	 */
	boolean endpointsCurrent(long now) {
		if (!complete() || !olderThan(SHARE_TO_SEND, now)) {
			return true;
		}
		if (storeUnavailable()) {
			return true;
		}
		this.endpointFollower.refresh();
		return false;
	}

	// One failed read is not enough: it may have timed out while this gateway stood
	// still.
	private boolean storeUnavailable() {
		return this.endpointFollower.failuresSinceConfirmed() >= FAILED_READS
				|| this.unansweredTicks >= UNANSWERED_TICKS;
	}

	private void countUnansweredTicks() {
		Long asked = this.endpointFollower.unansweredSince();
		if (asked != null && asked.equals(this.unansweredRead)) {
			this.unansweredTicks++;
		}
		else if (this.endpointFollower.failuresSinceConfirmed() == 0) {
			this.unansweredTicks = 0;
		}
		this.unansweredRead = asked;
	}

	private void recordAge(long now) {
		Duration age = endpointsAge(now);
		boolean tooOld = complete() && age.compareTo(this.changeDeadline) > 0;
		if (tooOld != this.outdated) {
			this.outdated = tooOld;
			log.atWarn()
				.addKeyValue("ageMs", age.toMillis())
				.addKeyValue("readByOthers", this.leftToOthers.getAsBoolean())
				.log(tooOld ? "endpoints outdated" : "endpoints confirmed again");
		}
	}

	private static @Nullable Long missingSince(boolean missing, @Nullable Long since, TopicFollower follower,
			long now) {
		if (!missing) {
			return null;
		}
		if (since != null && now - since > MISSING_TIMEOUT.toNanos()) {
			follower.readAnew();
			return null;
		}
		return (since != null) ? since : Long.valueOf(now);
	}

	private void configurationChanged(TopicRecord entry) {
		if (entry.value() == null) {
			return;
		}
		if (!this.reader.isConfiguration(entry.key())) {
			rolloutOrdered(entry, entry.value());
			return;
		}
		Configuration newest;
		try {
			newest = this.reader.readConfiguration(entry.value());
		}
		catch (RuntimeException ex) {
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
			.addKeyValue("passedOn", this.relayed != null)
			.log("configuration taken");
		this.configured.accept(newest);
		passOn(entry, entry.value());
	}

	private void rolloutOrdered(TopicRecord entry, byte[] value) {
		RolloutOrder order;
		try {
			order = this.reader.readRollout(entry.key(), value, entry.offset());
		}
		catch (RuntimeException ex) {
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
		if (this.ordered.test(order)) {
			log.atInfo()
				.addKeyValue("service", order.service())
				.addKeyValue("candidate", order.candidate())
				.addKeyValue("durationMs", order.duration().toMillis())
				.addKeyValue("passedOn", this.relayed != null)
				.log("rollout ordered");
			passOn(entry, value);
		}
	}

	private void passOn(TopicRecord entry, byte[] value) {
		if (value.length > MAXIMUM_RELAYED_BYTES) {
			return;
		}
		if (this.relayed != null) {
			this.toForward.add(entry);
		}
		else if (this.configurationFollower.complete()) {
			this.relay.accept(new RelayedRecords(Topic.CONFIGURATION, List.of(entry), null));
		}
	}

	// Deterministic over processes, unlike identity hashes; spread so that sums differ.
	private static long digest(EndpointEntry entry) {
		long mixed = Objects.hash(entry.id().value(), entry.service().value(), entry.version(),
				entry.address().toString(), entry.zone().value(), entry.slots(), entry.draining(), entry.reclaimable(),
				entry.startedAt());
		return mixed * 0x9e3779b97f4a7c15L;
	}

	/**
	 * Receives the records of endpoints.
	 */
	private final class EndpointListener implements TopicFollower.Listener {

		@Override
		public void changed(TopicRecord entry) {
			EndpointId id = new EndpointId(entry.key());
			if (entry.value() == null) {
				gone(id, entry);
				return;
			}
			EndpointEntry read;
			try {
				read = StateWatch.this.reader.readEndpoint(id, entry.value());
			}
			catch (RuntimeException ex) {
				log.atWarn().addKeyValue("endpoint", id).addKeyValue("cause", ex.toString()).log("endpoint unreadable");
				StateWatch.this.endpoints.remove(id);
				StateWatch.this.digests.remove(id);
				return;
			}
			long digest = digest(read);
			Long before = StateWatch.this.digests.put(id, digest);
			if (before == null || before != digest) {
				log.atInfo()
					.addKeyValue("endpoint", id)
					.addKeyValue("service", read.service())
					.addKeyValue("version", read.version())
					.addKeyValue("address", read.address())
					.addKeyValue("zone", read.zone())
					.addKeyValue("reclaimable", read.reclaimable())
					.addKeyValue("draining", read.draining())
					.addKeyValue("passedOn", StateWatch.this.relayed != null)
					.log("endpoint listed");
				passOn(entry);
			}
			StateWatch.this.endpoints.put(read);
		}

		private void gone(EndpointId id, @Nullable TopicRecord entry) {
			if (StateWatch.this.digests.remove(id) == null) {
				return;
			}
			Duration sinceOutage = sinceOutage();
			log.atInfo()
				.addKeyValue("endpoint", id)
				.addKeyValue("sinceOutageMs", (sinceOutage != null) ? sinceOutage.toMillis() : null)
				.addKeyValue("passedOn", StateWatch.this.relayed != null)
				.log("endpoint no longer listed");
			StateWatch.this.endpoints.unlisted(id, sinceOutage, StateWatch.this.clock.nanos());
			if (entry != null) {
				passOn(entry);
			}
		}

		private @Nullable Duration sinceOutage() {
			RelayedRecords passedOn = StateWatch.this.relayed;
			if (passedOn == null) {
				return StateWatch.this.endpointFollower.sinceFailure();
			}
			return (passedOn.outageMillis() != null) ? Duration.ofMillis(passedOn.outageMillis()) : null;
		}

		private void passOn(TopicRecord entry) {
			if (StateWatch.this.relayed != null) {
				StateWatch.this.toForward.add(entry);
			}
			else if (StateWatch.this.endpointFollower.complete()) {
				StateWatch.this.toRelay.add(entry);
			}
		}

		@Override
		public void missing(String key) {
			gone(new EndpointId(key), null);
		}

		@Override
		public void readThrough(long next) {
			List<TopicRecord> all = StateWatch.this.toRelay;
			Duration outage = StateWatch.this.endpointFollower.sinceFailure();
			for (int from = 0; from < all.size(); from += MAXIMUM_RELAYED) {
				StateWatch.this.relay.accept(new RelayedRecords(Topic.ENDPOINTS,
						all.subList(from, Math.min(all.size(), from + MAXIMUM_RELAYED)),
						(outage != null) ? outage.toMillis() : null));
			}
			all.clear();
		}

	}

}
