package org.banyancove.gateway.daemon;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.embedded.EmbeddedChannel;
import org.banyancove.core.DataCenterName;
import org.banyancove.core.EndpointId;
import org.banyancove.core.ServiceName;
import org.banyancove.gateway.configuration.CallerLimits;
import org.banyancove.gateway.configuration.Configuration;
import org.banyancove.gateway.endpoint.Endpoint;
import org.banyancove.gateway.endpoint.EndpointEntry;
import org.banyancove.gateway.endpoint.EndpointTable;
import org.banyancove.gateway.endpoint.FleetAllocation;
import org.banyancove.gateway.rollout.Rollout;
import org.banyancove.gateway.rollout.RolloutOrder;
import org.banyancove.gateway.shared.AppendOutcome;
import org.banyancove.gateway.shared.RecordCodec;
import org.banyancove.gateway.shared.Topic;
import org.banyancove.gateway.shared.TopicPage;
import org.banyancove.gateway.shared.TopicRecord;
import org.banyancove.gateway.shared.TopicStore;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class SharedStateFollowerTests {

	private static final String LONG_KEY = "projects/lagoon/agents/0123456789012345678901234567890123456789012345678901234567890123456789"
			+ "0123456789012345678901234567890123456789012345678901234567890123456789012345678901234567890123456789"
			+ "0123456789";

	private static final byte[] VALUE = "entry".getBytes(StandardCharsets.US_ASCII);

	private static final Duration STEP = Duration.ofMillis(10);

	private static final int STEPS = 300;

	// Guards against streams that are placed on endpoints whose change has not been read.
	@Test
	void endpointsAreReadAtOnceToConfirmThem() {
		Follower follower = new Follower();
		long time = follower.now;
		assertThat(follower.sharedState.endpointsConfirmedSince(time, follower.now)).isFalse();
		follower.advance();
		assertThat(follower.sharedState.endpointsConfirmedSince(time, follower.now)).isTrue();
	}

	// Guards against an outage of the store that is spent on reads for streams that wait
	// for confirmed endpoints.
	@Test
	void anOutageOfTheStoreIsNotSpentOnConfirmations() {
		Follower once = new Follower();
		Follower often = new Follower();
		once.store.failing = true;
		often.store.failing = true;
		once.sharedState.endpointsConfirmedSince(once.now, once.now);
		for (int i = 0; i < STEPS; i++) {
			often.sharedState.endpointsConfirmedSince(often.now, often.now);
			once.advance();
			often.advance();
		}
		assertThat(often.store.endpointReads).isEqualTo(once.store.endpointReads);
	}

	// Guards against endpoints that are not followed any more, and against a gateway that
	// never becomes ready, because of an entry of another writer.
	@ParameterizedTest
	@ValueSource(strings = { "", " ", "\t\u0000", LONG_KEY })
	void endpointsAreFollowedBesideAnEntryUnderAnOddKey(String key) {
		Follower follower = new Follower(List.of(new TopicRecord(0, key, VALUE)));
		assertThat(follower.sharedState.complete()).isTrue();
		follower.write(key, VALUE);
		follower.write("a", VALUE);
		follower.write(key, null);
		follower.awaitRead();
		assertThat(follower.listed()).contains(new EndpointId("a"));
	}

	// Guards against requests to an endpoint whose entry was replaced by one that cannot
	// be
	// read, for whatever reason.
	@ParameterizedTest
	@ValueSource(strings = { "malformed", "overflow" })
	void endpointWhoseEntryCannotBeReadAnyMoreIsRemoved(String value) {
		Follower follower = new Follower();
		follower.write("a", VALUE);
		follower.write("b", VALUE);
		follower.awaitRead();
		follower.write("a", value.getBytes(StandardCharsets.US_ASCII));
		follower.awaitRead();
		assertThat(follower.listed()).containsExactly(new EndpointId("b"));
	}

	/**
	 * A follower before a store of its own.
	 */
	private static final class Follower {

		private final EmbeddedChannel channel = new EmbeddedChannel();

		private final CountingStore store = new CountingStore();

		private final EndpointTable endpoints = new EndpointTable(
				new FleetAllocation("gateway", () -> List.of("gateway")));

		private final SharedStateFollower sharedState;

		private long now;

		Follower() {
			this(List.of());
		}

		Follower(List<TopicRecord> initial) {
			this.store.endpointRecords.addAll(initial);
			this.channel.freezeTime();
			this.sharedState = new SharedStateFollower(this.store, this.channel.eventLoop(), () -> this.now,
					new EmptyRecordCodec(), this.endpoints, () -> false, () -> Duration.ofMillis(250), (records) -> {
					}, (records) -> {
					}, (configuration) -> {
					}, (order) -> false, Duration.ofSeconds(2));
			this.sharedState.start();
			advance();
		}

		private void write(String key, byte @Nullable [] value) {
			this.store.endpointRecords.add(new TopicRecord(this.store.endpointRecords.size(), key, value));
		}

		private List<EndpointId> listed() {
			return this.endpoints.all().stream().map(Endpoint::id).toList();
		}

		private void awaitRead() {
			for (int i = 0; i < STEPS; i++) {
				advance();
			}
		}

		private void advance() {
			this.now += STEP.toNanos();
			this.channel.advanceTimeBy(STEP.toMillis(), TimeUnit.MILLISECONDS);
			this.channel.runScheduledPendingTasks();
			this.channel.runPendingTasks();
		}

	}

	/**
	 * A store that answers at once, or fails each read.
	 */
	private static final class CountingStore implements TopicStore {

		private boolean failing;

		private int endpointReads;

		private final List<TopicRecord> endpointRecords = new ArrayList<>();

		@Override
		public CompletableFuture<TopicPage> readLatest(Topic topic, @Nullable String afterKey) {
			List<TopicRecord> records = (topic == Topic.CONFIGURATION)
					? List.of(new TopicRecord(0, "configuration", new byte[0])) : List.copyOf(this.endpointRecords);
			return read(topic, new TopicPage(records, records.size(), null, false));
		}

		@Override
		public CompletableFuture<TopicPage> readChanges(Topic topic, long fromOffset, Duration maximumWait) {
			List<TopicRecord> records = (topic == Topic.ENDPOINTS)
					? this.endpointRecords.subList((int) fromOffset, this.endpointRecords.size()) : List.of();
			return read(topic, new TopicPage(records, fromOffset + records.size(), null, false));
		}

		private CompletableFuture<TopicPage> read(Topic topic, TopicPage page) {
			if (topic == Topic.ENDPOINTS) {
				this.endpointReads++;
			}
			return this.failing ? CompletableFuture.failedFuture(new IllegalStateException("the store is unavailable"))
					: CompletableFuture.completedFuture(page);
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

	/**
	 * Reads a configuration without routes.
	 */
	private static final class EmptyRecordCodec implements RecordCodec {

		@Override
		public Configuration readConfiguration(byte[] value) {
			return new Configuration(1, List.of(), List.of(), List.of(), CallerLimits.DEFAULT);
		}

		@Override
		public boolean isConfiguration(String key) {
			return true;
		}

		@Override
		public @Nullable RolloutOrder readRollout(String key, byte[] value, long offset) {
			return null;
		}

		@Override
		public StatusRecord writeStatus(Rollout rollout) {
			throw new UnsupportedOperationException("writeStatus");
		}

		@Override
		public EndpointEntry readEndpoint(EndpointId id, byte[] value) {
			switch (new String(value, StandardCharsets.US_ASCII)) {
				case "malformed" -> throw new IllegalArgumentException("port must be below 65536: 70000");
				case "overflow" -> throw new StackOverflowError();
				default -> {
				}
			}
			return new EndpointEntry(id, new ServiceName("service"), "v1", new InetSocketAddress("10.0.0.1", 80),
					new DataCenterName("dc"), 1, false, false, 1);
		}

	}

}
