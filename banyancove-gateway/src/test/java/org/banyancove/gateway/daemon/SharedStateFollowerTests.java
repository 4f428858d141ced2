package org.banyancove.gateway.daemon;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.embedded.EmbeddedChannel;
import org.banyancove.core.DataCenterName;
import org.banyancove.core.EndpointId;
import org.banyancove.core.ServiceName;
import org.banyancove.gateway.configuration.CallerLimits;
import org.banyancove.gateway.configuration.Configuration;
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

import static org.assertj.core.api.Assertions.assertThat;

class SharedStateFollowerTests {

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

	/**
	 * A follower before a store of its own.
	 */
	private static final class Follower {

		private final EmbeddedChannel channel = new EmbeddedChannel();

		private final CountingStore store = new CountingStore();

		private final SharedStateFollower sharedState;

		private long now;

		Follower() {
			this.channel.freezeTime();
			this.sharedState = new SharedStateFollower(this.store, this.channel.eventLoop(), () -> this.now,
					new EmptyRecordCodec(), new EndpointTable(new FleetAllocation("gateway", () -> List.of("gateway"))),
					() -> false, () -> Duration.ofMillis(250), (records) -> {
					}, (records) -> {
					}, (configuration) -> {
					}, (order) -> false, Duration.ofSeconds(2));
			this.sharedState.start();
			advance();
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

		@Override
		public CompletableFuture<TopicPage> readLatest(Topic topic, @Nullable String afterKey) {
			List<TopicRecord> records = (topic == Topic.CONFIGURATION)
					? List.of(new TopicRecord(0, "configuration", new byte[0])) : List.of();
			return read(topic, new TopicPage(records, 1, null, false));
		}

		@Override
		public CompletableFuture<TopicPage> readChanges(Topic topic, long fromOffset, Duration maximumWait) {
			return read(topic, new TopicPage(List.of(), fromOffset, null, false));
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
			return new EndpointEntry(id, new ServiceName("service"), "v1", new InetSocketAddress("10.0.0.1", 80),
					new DataCenterName("dc"), 1, false, false, 1);
		}

	}

}
