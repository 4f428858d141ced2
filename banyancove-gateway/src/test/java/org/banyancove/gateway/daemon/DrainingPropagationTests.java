package org.banyancove.gateway.daemon;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import io.netty.channel.embedded.EmbeddedChannel;
import org.banyancove.core.DataCenterName;
import org.banyancove.core.EndpointId;
import org.banyancove.core.ServiceName;
import org.banyancove.core.error.BanyancoveException;
import org.banyancove.core.error.ErrorKind;
import org.banyancove.gateway.configuration.CallerLimits;
import org.banyancove.gateway.configuration.Configuration;
import org.banyancove.gateway.duty.FleetView;
import org.banyancove.gateway.duty.GatewayReport;
import org.banyancove.gateway.duty.PeerTable;
import org.banyancove.gateway.duty.TrafficTotals;
import org.banyancove.gateway.endpoint.Endpoint;
import org.banyancove.gateway.endpoint.EndpointEntry;
import org.banyancove.gateway.endpoint.EndpointTable;
import org.banyancove.gateway.endpoint.FleetAllocation;
import org.banyancove.gateway.quarantine.RequestQuarantine;
import org.banyancove.gateway.resumption.OnlyVersions;
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

/**
 * Tests that every gateway of a fleet detects in time that an endpoint is draining.
 */
class DrainingPropagationTests {

	private static final Duration DRAIN_TIME = Duration.ofSeconds(3);

	private static final ServiceName SERVICE = new ServiceName("service");

	private static final String DRAINING = "draining";

	private static final int STEP_MILLIS = 10;

	private static final int ENDPOINTS = 20;

	private static final int MAXIMUM_PAUSE_MILLIS = 2000;

	private static final int MEAN_STEPS_BETWEEN_PAUSES = 25;

	private final Store store = new Store();

	private final List<Node> fleet = new ArrayList<>();

	private final Map<InetSocketAddress, Node> byAddress = new HashMap<>();

	private SplittableRandom random = new SplittableRandom(1);

	private double lossRate;

	private boolean pausing;

	private long now;

	@Test
	void everyGatewayDetectsDrainingWithoutFaults() {
		start(60, 0);
		assertThat(drain(0, (node) -> true)).isLessThan(DRAIN_TIME);
	}

	// Guards against gateways that wait for others to read the store while none of those
	// can.
	@Test
	void gatewaysThatReachTheStoreDetectDrainingWhenAllAggregatorsAreRejected() {
		start(60, 0);
		aggregators().forEach((node) -> node.rejected = true);
		assertThat(drain(0, (node) -> !node.rejected)).isLessThan(DRAIN_TIME);
	}

	// Guards against gateways that rely on readers whose reads become slower and slower.
	@Test
	void gatewaysDetectDrainingWhenTheStoreRespondsSlowlyToTheReaders() {
		start(60, 0);
		aggregators().forEach((node) -> node.responseMillis = 1000);
		runFor(Duration.ofSeconds(2));
		assertThat(drain(0, (node) -> node.responseMillis < 1000)).isLessThan(DRAIN_TIME);
	}

	// Guards against a relayed record that is lost between gateways and then missing for
	// seconds.
	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 3, 4, 5 })
	void gatewaysDetectDrainingDespiteLostDatagrams(int seed) {
		start(60, seed);
		this.lossRate = 0.1;
		for (int endpoint = 0; endpoint < 5; endpoint++) {
			assertThat(drain(endpoint, (node) -> true)).isLessThan(DRAIN_TIME);
		}
	}

	// Guards against outdated endpoints while every VM, including those of the readers,
	// gets more work than its processor share allows.
	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 3, 4, 5, 19, 30 })
	void noGatewaySendsToADrainingEndpointTooLongWhileAllGatewaysPause(int seed) {
		start(60, seed);
		this.lossRate = 0.02;
		this.pausing = true;
		runFor(Duration.ofSeconds(2));
		for (int endpoint = 0; endpoint < 5; endpoint++) {
			assertThat(drain(endpoint, (node) -> true)).isLessThan(DRAIN_TIME);
		}
	}

	// Guards against gateways that stop sending requests because the store does not
	// respond.
	@ParameterizedTest
	@ValueSource(ints = { 9, 60 })
	void gatewaysKeepSendingWhileTheStoreDoesNotRespond(int gateways) {
		start(gateways, 0);
		this.fleet.forEach((node) -> node.responseMillis = 60_000);
		runFor(Duration.ofSeconds(10));
		assertThat(this.fleet).allMatch((node) -> node.blockedSteps == 0, "blocked no request");
	}

	@ParameterizedTest
	@ValueSource(ints = { 9, 60 })
	void gatewaysKeepSendingWhileTheStoreRejectsAllCalls(int gateways) {
		start(gateways, 0);
		this.fleet.forEach((node) -> node.rejected = true);
		runFor(Duration.ofSeconds(10));
		assertThat(this.fleet).allMatch((node) -> node.blockedSteps == 0, "blocked no request");
	}

	private List<Node> aggregators() {
		return this.fleet.stream().filter((node) -> node.view.aggregator()).toList();
	}

	// Returns how long the given gateways may have sent requests to the draining
	// endpoint.
	private Duration drain(int endpoint, Predicate<Node> included) {
		this.store.put(endpoint, DRAINING);
		long at = this.now;
		runFor(Duration.ofSeconds(8));
		EndpointId id = this.store.id(endpoint);
		long latest = this.fleet.stream()
			.filter(included)
			.mapToLong((node) -> node.lastSentAt.getOrDefault(id, at))
			.max()
			.orElseThrow();
		return Duration.ofNanos(latest - at);
	}

	private void start(int gateways, int seed) {
		this.random = new SplittableRandom(seed);
		for (int i = 0; i < ENDPOINTS; i++) {
			this.store.put(i, "ready");
		}
		for (int i = 0; i < gateways; i++) {
			Node node = new Node(i);
			this.fleet.add(node);
			this.byAddress.put(node.address.address(), node);
		}
		this.fleet.forEach(Node::registerAll);
		this.fleet.forEach((node) -> node.sharedState.start());
		runFor(Duration.ofSeconds(6));
	}

	private void runFor(Duration time) {
		for (long end = this.now + time.toNanos(); this.now < end;) {
			this.now += Duration.ofMillis(STEP_MILLIS).toNanos();
			this.store.heartbeat();
			this.fleet.forEach(Node::advance);
			deliver();
		}
	}

	private void deliver() {
		List<Message> messages = new ArrayList<>();
		this.fleet.forEach((node) -> {
			messages.addAll(node.outbox);
			node.outbox.clear();
		});
		for (Message message : messages) {
			if (this.random.nextDouble() >= this.lossRate) {
				Node receiver = Objects.requireNonNull(this.byAddress.get(message.to()));
				receiver.inbox.add(message);
			}
		}
	}

	@SuppressWarnings("ArrayRecordComponent")
	private record Message(InetSocketAddress from, InetSocketAddress to, byte[] content) {
	}

	/**
	 * A store of endpoint records, in which each endpoint writes once in 1.2 s.
	 */
	private final class Store {

		private static final long HEARTBEAT_NANOS = 1_200_000_000L;

		private final Map<String, TopicRecord> records = new TreeMap<>();

		private final Map<Integer, String> states = new HashMap<>();

		private final List<TopicRecord> log = new ArrayList<>();

		private long heartbeats;

		EndpointId id(int endpoint) {
			return new EndpointId("e-" + (char) ('a' + endpoint));
		}

		void put(int endpoint, String state) {
			String key = id(endpoint).value();
			TopicRecord entry = new TopicRecord(this.log.size(), key, state.getBytes(StandardCharsets.US_ASCII));
			this.log.add(entry);
			this.records.put(key, entry);
			this.states.put(endpoint, state);
		}

		void heartbeat() {
			while (this.heartbeats < DrainingPropagationTests.this.now / (HEARTBEAT_NANOS / ENDPOINTS)) {
				int endpoint = (int) (this.heartbeats++ % ENDPOINTS);
				put(endpoint, Objects.requireNonNull(this.states.get(endpoint)));
			}
		}

		TopicPage newest() {
			return new TopicPage(List.copyOf(this.records.values()), this.log.size(), null, false);
		}

		TopicPage changes(long from) {
			return new TopicPage(this.log.subList((int) from, this.log.size()), this.log.size(), null, false);
		}

	}

	/**
	 * A gateway without callers and sockets.
	 */
	private final class Node implements PeerTransport, TopicStore {

		private static final int TICK_MILLIS = 200;

		private static final int READ_TIMEOUT_MILLIS = 1200;

		private final EmbeddedChannel channel = new EmbeddedChannel();

		private final GatewayAddress address;

		private final long incarnation;

		private final PeerTable table;

		private final FleetExchange exchange;

		private final ReadDelegation delegation;

		private final EndpointTable endpoints = new EndpointTable(
				new FleetAllocation("gateway", () -> List.of("gateway")));

		private final SharedStateFollower sharedState;

		private final List<Message> inbox = new ArrayList<>();

		private final List<Message> outbox = new ArrayList<>();

		private final Map<EndpointId, Long> lastSentAt = new HashMap<>();

		private FleetView view = FleetView.ALONE;

		private boolean rejected;

		private int responseMillis = 5;

		private int blockedSteps;

		private long pausedUntil;

		private long reportAt;

		private long tickAt;

		Node(int number) {
			this.channel.freezeTime();
			DataCenterName dataCenter = new DataCenterName("dc-" + number % 3);
			this.incarnation = 1000L + (number * 37) % 101;
			this.address = new GatewayAddress("gateway-" + number,
					new InetSocketAddress("10.0.0." + (1 + number), 7500), dataCenter, (number % 4 == 0) ? 1.5 : 0.27);
			this.table = new PeerTable(this.incarnation, dataCenter);
			this.delegation = new ReadDelegation(() -> DrainingPropagationTests.this.now, this.incarnation);
			this.exchange = new FleetExchange(this.address, this.channel.eventLoop(),
					() -> DrainingPropagationTests.this.now, this, this.table, this::report, (used) -> {
					}, (records) -> this.sharedState().applyRelayed(records), new RequestQuarantine(this.endpoints),
					new OnlyVersions(new UnreadVersions(), Duration.ofSeconds(2)));
			this.sharedState = new SharedStateFollower(this, this.channel.eventLoop(),
					() -> DrainingPropagationTests.this.now, new StateRecordCodec(), this.endpoints,
					this.delegation::delegatesSharedState, () -> Duration.ofMillis(this.view.aggregator() ? 250 : 2000),
					this.exchange::relay, this.exchange::forward, (configuration) -> {
					}, (order) -> false, DRAIN_TIME);
			this.reportAt = Duration.ofMillis(DrainingPropagationTests.this.random.nextInt(400)).toNanos();
			this.tickAt = Duration.ofMillis(DrainingPropagationTests.this.random.nextInt(TICK_MILLIS)).toNanos();
		}

		private SharedStateFollower sharedState() {
			return this.sharedState;
		}

		void registerAll() {
			for (Node other : DrainingPropagationTests.this.fleet) {
				byte[] value = other.address.format().getBytes(StandardCharsets.UTF_8);
				this.exchange.directory().changed(new TopicRecord(0, other.address.name(), value));
			}
		}

		void advance() {
			this.channel.advanceTimeBy(STEP_MILLIS, TimeUnit.MILLISECONDS);
			if (DrainingPropagationTests.this.now < this.pausedUntil) {
				return;
			}
			if (DrainingPropagationTests.this.pausing
					&& DrainingPropagationTests.this.random.nextInt(MEAN_STEPS_BETWEEN_PAUSES) == 0) {
				this.pausedUntil = DrainingPropagationTests.this.now
						+ Duration.ofMillis(DrainingPropagationTests.this.random.nextInt(MAXIMUM_PAUSE_MILLIS))
							.toNanos();
			}
			sendRequests(DrainingPropagationTests.this.now);
			this.inbox.forEach((message) -> this.exchange.handleDatagram(message.from(), message.content()));
			this.inbox.clear();
			this.channel.runScheduledPendingTasks();
			long time = DrainingPropagationTests.this.now;
			if (time >= this.reportAt) {
				this.reportAt = time + this.exchange.reportInterval().toNanos();
				this.exchange.report(time);
			}
			if (time >= this.tickAt) {
				this.tickAt = time + Duration.ofMillis(TICK_MILLIS).toNanos();
				this.table.expire(time);
				this.view = this.table.view(time);
				this.delegation.update(this.view);
				this.sharedState.reconcile(this.view.sharedState(), time);
			}
		}

		// Requests that arrived during a pause are sent first, before the reports of
		// other gateways are handled.
		private void sendRequests(long time) {
			if (!this.sharedState.endpointsCurrent(time)) {
				this.blockedSteps++;
				return;
			}
			for (Endpoint endpoint : this.endpoints.all()) {
				if (!endpoint.entry().draining()) {
					this.lastSentAt.put(endpoint.id(), time);
				}
			}
		}

		private GatewayReport report() {
			return new GatewayReport(this.incarnation, this.address.dataCenter(), TrafficTotals.NONE, false,
					this.sharedState.sharedStateVersion());
		}

		@Override
		public CompletableFuture<TopicPage> readLatest(Topic topic, @Nullable String after) {
			return answer(topic, DrainingPropagationTests.this.store.newest());
		}

		@Override
		public CompletableFuture<TopicPage> readChanges(Topic topic, long from, Duration wait) {
			return answer(topic,
					(topic == Topic.ENDPOINTS) ? DrainingPropagationTests.this.store.changes(from) : configuration());
		}

		private CompletableFuture<TopicPage> answer(Topic topic, TopicPage page) {
			CompletableFuture<TopicPage> future = new CompletableFuture<>();
			if (this.rejected) {
				future.completeExceptionally(new BanyancoveException(ErrorKind.PLATFORM_UNREACHABLE, "rejected"));
				return future;
			}
			TopicPage answer = (topic == Topic.ENDPOINTS) ? page : configuration();
			this.channel.eventLoop()
				.schedule(() -> future.complete(answer), this.responseMillis, TimeUnit.MILLISECONDS);
			this.channel.eventLoop()
				.schedule(
						() -> future.completeExceptionally(
								new BanyancoveException(ErrorKind.PLATFORM_UNREACHABLE, "no answer in time")),
						READ_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
			return future;
		}

		private static TopicPage configuration() {
			return new TopicPage(List.of(new TopicRecord(0, "configuration", new byte[0])), 1, null, false);
		}

		@Override
		public CompletableFuture<AppendOutcome> append(Topic topic, String key, byte[] value) {
			throw new UnsupportedOperationException("append");
		}

		@Override
		public CompletableFuture<AppendOutcome> appendAt(Topic topic, String key, byte[] value, long expectedEnd) {
			throw new UnsupportedOperationException("appendAt");
		}

		@Override
		public void write(InetSocketAddress to, byte[] message) {
			this.outbox.add(new Message(this.address.address(), to, message));
		}

		@Override
		public void flush() {
			// Messages are delivered at the end of each step.
		}

	}

	/**
	 * Decodes endpoint records whose value is the state of the endpoint.
	 */
	private static final class StateRecordCodec implements RecordCodec {

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
			boolean draining = new String(value, StandardCharsets.US_ASCII).equals(DRAINING);
			return new EndpointEntry(id, SERVICE, "v1", new InetSocketAddress(InetAddress.getLoopbackAddress(), 1),
					new DataCenterName("dc-0"), 10, draining, false, 1);
		}

	}

}
