package org.banyancove.gateway.daemon;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.banyancove.core.DataCenterName;
import org.banyancove.core.EndpointId;
import org.banyancove.core.ServiceName;
import org.banyancove.gateway.configuration.Configuration;
import org.banyancove.gateway.duty.FleetView;
import org.banyancove.gateway.endpoint.EndpointEntry;
import org.banyancove.gateway.endpoint.EndpointTable;
import org.banyancove.gateway.endpoint.FleetAllocation;
import org.banyancove.gateway.rollout.AnswerTimes;
import org.banyancove.gateway.rollout.ExposureLimits;
import org.banyancove.gateway.rollout.Rollout;
import org.banyancove.gateway.rollout.RolloutController;
import org.banyancove.gateway.rollout.RolloutOrder;
import org.banyancove.gateway.rollout.RolloutStage;
import org.banyancove.gateway.rollout.RolloutTable;
import org.banyancove.gateway.shared.AppendOutcome;
import org.banyancove.gateway.shared.RecordCodec;
import org.banyancove.gateway.shared.Topic;
import org.banyancove.gateway.shared.TopicPage;
import org.banyancove.gateway.shared.TopicRecord;
import org.banyancove.gateway.shared.TopicStore;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link RolloutExecutor} and {@link RolloutStatusPublisher}.
 */
class RolloutExecutorTests {

	private static final ServiceName SERVICE = new ServiceName("engines");

	private static final RolloutOrder ORDER = new RolloutOrder(SERVICE, "v2", Duration.ofSeconds(12), 7);

	private static final long MILLISECOND = 1_000_000;

	private static final long FENCE = 5;

	private final ScriptedStatusTopic topics = new ScriptedStatusTopic();

	private final EndpointTable endpoints = new EndpointTable(new FleetAllocation("gateway", () -> List.of("gateway")));

	private final RolloutTable table = new RolloutTable();

	private Instant wallTime = Instant.EPOCH;

	private RolloutExecutor executor = newExecutor();

	private List<Rollout> persisted = List.of();

	private long now;

	@Test
	void aHealthyCandidateIsCompletedBeforeItsDeadline() {
		startRollout();
		runFor(11_900, 0);
		assertThat(this.topics.states()).containsExactly("in_progress v2", "completed v2");
	}

	@Test
	void anUnhealthyCandidateIsRolledBack() {
		startRollout();
		runFor(7_000, 0.5);
		assertThat(this.topics.states()).containsExactly("in_progress v2", "rolled_back v2");
	}

	// Guards against a completion that the next holder reverts after the endpoints of the
	// baseline have stopped.
	@Test
	void aCompletionIsPublishedOnlyAfterItIsPersisted() {
		startRollout();
		runFor(10_800, 0);
		List<Rollout> before = this.persisted;
		for (int i = 0; i < 20; i++) {
			tick(before, 0);
		}
		assertThat(this.topics.states()).containsExactly("in_progress v2");
		assertThat(this.table.inProgress(SERVICE)).isTrue();
	}

	@Test
	void theNextHolderContinuesFromThePersistedState() {
		startRollout();
		runFor(11_900, 0);
		this.executor = newExecutor();
		this.table.addOrder(ORDER);
		for (int i = 0; i < 30; i++) {
			this.now += 200 * MILLISECOND;
			this.executor.tick(FENCE + 1, this.persisted, this.now);
		}
		assertThat(this.topics.states()).containsExactly("in_progress v2", "completed v2");
	}

	// Guards against the retry of a write whose response was lost although the store
	// applied it: the second write would follow a newer state.
	@Test
	void anAppliedWriteWithALostResponseIsNotRepeated() {
		this.topics.losesResponses = true;
		startRollout();
		runFor(2_000, 0);
		assertThat(this.topics.states()).containsExactly("in_progress v2");
	}

	// Guards against a second rollout whose baseline stops before all gateways follow the
	// decision.
	@Test
	void eachCompletionIsPublishedAfterItsDelay() {
		startRollout();
		runFor(12_000, 0);
		list("a", "v2");
		list("c", "v3");
		this.table.addOrder(new RolloutOrder(SERVICE, "v3", Duration.ofSeconds(12), 8));
		this.endpoints.remove(new EndpointId("a"), 0);
		this.endpoints.remove(new EndpointId("b"), 0);
		Rollout decision = null;
		for (int ticks = 0; decision == null && ticks < 10; ticks++) {
			tick(this.executor.rolloutsToPersist(), 0);
			decision = this.table.decision(SERVICE);
		}
		assertThat(decision).isNotNull();
		assertThat(this.topics.states()).hasSize(2);
		runFor(1_000, 0);
		assertThat(this.topics.states()).hasSize(3).endsWith("completed v3");
	}

	@Test
	void anOrderForTheServingVersionIsCompletedImmediately() {
		list("a", "v2");
		this.table.addOrder(ORDER);
		runFor(2_000, 0);
		assertThat(this.topics.states()).last().isEqualTo("completed v2");
	}

	private void startRollout() {
		list("a", "v1");
		list("b", "v2");
		this.table.addOrder(ORDER);
	}

	private void runFor(int millis, double badRate) {
		for (int at = 0; at < millis; at += 200) {
			tick(this.executor.rolloutsToPersist(), badRate);
		}
	}

	private void tick(List<Rollout> recordedRollouts, double badRate) {
		this.now += 200 * MILLISECOND;
		this.wallTime = this.wallTime.plusMillis(200);
		this.persisted = recordedRollouts;
		this.executor.tick(FENCE, recordedRollouts, this.now);
		for (int i = 0; i < 40; i++) {
			boolean candidate = i % 20 == 0 && this.now > 4_000 * MILLISECOND;
			String version = candidate ? "v2" : "v1";
			this.table.recordSent(SERVICE, "chat", version);
			if (candidate && badRate > 0 && i % 40 == 0) {
				this.table.recordFailed(SERVICE, "chat", version);
			}
			else {
				this.table.recordAnswered(SERVICE, "chat", version, new AnswerTimes(1, 1));
			}
		}
	}

	private RolloutExecutor newExecutor() {
		return new RolloutExecutor(this.table, new RolloutController(new ExposureLimits(0.1, 50)),
				new RolloutStatusPublisher(this.topics, new TextCodec()), () -> FleetView.ALONE, this.endpoints,
				() -> this.wallTime);
	}

	private void list(String id, String version) {
		this.endpoints.put(new EndpointEntry(new EndpointId(id), SERVICE, version,
				new InetSocketAddress("10.0.0.1", 80), new DataCenterName("z"), 4, false, false, 1));
	}

	/**
	 * A status topic in memory.
	 */
	private static final class ScriptedStatusTopic implements TopicStore {

		private final List<TopicRecord> records = new ArrayList<>();

		private boolean losesResponses;

		List<String> states() {
			return this.records.stream()
				.map((entry) -> new String((entry.value() != null) ? entry.value() : new byte[0],
						StandardCharsets.UTF_8))
				.toList();
		}

		@Override
		public CompletableFuture<TopicPage> readLatest(Topic topic, @Nullable String after) {
			List<TopicRecord> newest = this.records.isEmpty() ? List.of() : List.of(this.records.getLast());
			return CompletableFuture.completedFuture(new TopicPage(newest, this.records.size(), null, false));
		}

		@Override
		public CompletableFuture<TopicPage> readChanges(Topic topic, long from, Duration wait) {
			throw new UnsupportedOperationException("changes");
		}

		@Override
		public CompletableFuture<AppendOutcome> append(Topic topic, String key, byte[] value) {
			throw new UnsupportedOperationException("append");
		}

		@Override
		public CompletableFuture<AppendOutcome> appendAt(Topic topic, String key, byte[] value, long expectedEnd) {
			if (expectedEnd != this.records.size()) {
				return CompletableFuture.completedFuture(new AppendOutcome.Moved(this.records.size()));
			}
			this.records.add(new TopicRecord(expectedEnd, key, value));
			if (this.losesResponses) {
				return CompletableFuture.failedFuture(new IllegalStateException("no answer"));
			}
			return CompletableFuture.completedFuture(new AppendOutcome.Appended(expectedEnd));
		}

	}

	/**
	 * Writes states as text.
	 */
	private static final class TextCodec implements RecordCodec {

		@Override
		public StatusRecord writeStatus(Rollout rollout) {
			String state = switch (rollout.stage()) {
				case RolloutStage.InProgress inProgress -> "in_progress";
				case RolloutStage.Completed completed -> "completed";
				case RolloutStage.RolledBack rolledBack -> "rolled_back";
			};
			String text = state + " " + rollout.order().candidate();
			return new StatusRecord("engines", text.getBytes(StandardCharsets.UTF_8));
		}

		@Override
		public Configuration readConfiguration(byte[] value) {
			throw new UnsupportedOperationException("readConfiguration");
		}

		@Override
		public boolean isConfiguration(String key) {
			return false;
		}

		@Override
		public @Nullable RolloutOrder readRollout(String key, byte[] value, long offset) {
			return null;
		}

		@Override
		public EndpointEntry readEndpoint(EndpointId id, byte[] value) {
			throw new UnsupportedOperationException("readEndpoint");
		}

	}

}
