package org.banyancove.gateway.daemon;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.SplittableRandom;

import io.netty.channel.embedded.EmbeddedChannel;
import org.banyancove.core.DataCenterName;
import org.banyancove.core.EndpointId;
import org.banyancove.core.ServiceName;
import org.banyancove.gateway.duty.EndpointLoad;
import org.banyancove.gateway.duty.FleetView;
import org.banyancove.gateway.duty.GatewayReport;
import org.banyancove.gateway.duty.PeerTable;
import org.banyancove.gateway.duty.SharedStateVersion;
import org.banyancove.gateway.duty.TrafficTotals;
import org.banyancove.gateway.endpoint.Endpoint;
import org.banyancove.gateway.endpoint.EndpointEntry;
import org.banyancove.gateway.endpoint.EndpointTable;
import org.banyancove.gateway.endpoint.FleetAllocation;
import org.banyancove.gateway.endpoint.LoadReport;
import org.banyancove.gateway.endpoint.Placement;
import org.banyancove.gateway.endpoint.PlacementRule;
import org.banyancove.gateway.endpoint.Prompt;
import org.banyancove.gateway.quarantine.RequestQuarantine;
import org.banyancove.gateway.resumption.OnlyVersions;
import org.banyancove.gateway.rollout.RolloutReport;
import org.banyancove.gateway.shared.TopicRecord;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that a fleet stays within the rejections that overloaded endpoints announce to
 * bear.
 */
class RejectionLimitFleetTests {

	private static final ServiceName SERVICE = new ServiceName("service");

	private static final int SLOTS = 6;

	private static final int QUEUE = 24;

	private static final int REDUCED_QUEUE = 4;

	private static final double TOLERATED_REJECTIONS = 5;

	private static final Duration SERVICE_TIME = Duration.ofMillis(40);

	private static final Duration RESTART_TIME = Duration.ofSeconds(4);

	private static final Duration STEP = Duration.ofMillis(5);

	private final List<Backend> backends = new ArrayList<>();

	private final List<Node> fleet = new ArrayList<>();

	private final Map<InetSocketAddress, Node> byAddress = new HashMap<>();

	private SplittableRandom random = new SplittableRandom(1);

	private boolean announced;

	private int queue = QUEUE;

	private int falls;

	private int sent;

	private int offered;

	private int served;

	private long now;

	// Guards against a fleet under whose rejections endpoints fail, because each gateway
	// counts only its own, while callers ask for more than all of them can serve.
	@ParameterizedTest
	@CsvSource({ "9, 6, 1", "9, 6, 2", "9, 3, 3" })
	void overloadedEndpointsStayWithinTheRejectionsThatTheyBear(int gateways, int endpoints, long seed) {
		overload(gateways, endpoints, seed);
	}

	// Guards against the same in a fleet of many more gateways than an endpoint has
	// slots.
	@ParameterizedTest
	@CsvSource({ "90, 20, 4", "90, 20, 5", "90, 6, 6" })
	void overloadedEndpointsOfALargeFleetStayWithinTheRejectionsThatTheyBear(int gateways, int endpoints, long seed) {
		overload(gateways, endpoints, seed);
	}

	private void overload(int gateways, int endpoints, long seed) {
		start(gateways, endpoints, seed);
		double capacity = endpoints * SLOTS / (SERVICE_TIME.toNanos() / 1e9);
		announce(0.6 * capacity);
		runFor(Duration.ofSeconds(15), 1.6 * capacity);
		assertThat(this.falls).as("endpoints that failed, of %d", endpoints).isLessThanOrEqualTo(2 + endpoints / 10);
		assertThat(this.served).as("served").isGreaterThan((int) (0.6 * capacity * 15));
	}

	// Guards against requests that are rejected although the endpoints that announce a
	// limit are mostly idle.
	@ParameterizedTest
	@CsvSource({ "9, 6, 1", "90, 20, 2" })
	void requestsBelowTheCapacityAreServed(int gateways, int endpoints, long seed) {
		underload(gateways, endpoints, seed);
	}

	// Guards against the same where a gateway has a share of few endpoints or none.
	@ParameterizedTest
	@CsvSource({ "90, 6, 3" })
	void requestsBelowTheCapacityOfFewEndpointsAreServed(int gateways, int endpoints, long seed) {
		underload(gateways, endpoints, seed);
	}

	private void underload(int gateways, int endpoints, long seed) {
		start(gateways, endpoints, seed);
		double capacity = endpoints * SLOTS / (SERVICE_TIME.toNanos() / 1e9);
		announce(0.3 * capacity);
		runFor(Duration.ofSeconds(15), 0.3 * capacity);
		assertThat(this.falls).as("endpoints that failed").isZero();
		assertThat(this.served).as("served of %d", this.offered).isGreaterThan((int) (0.98 * this.offered));
	}

	private void start(int gateways, int endpoints, long seed) {
		this.random = new SplittableRandom(seed);
		for (int i = 0; i < endpoints; i++) {
			this.backends.add(new Backend());
		}
		for (int i = 0; i < gateways; i++) {
			Node node = new Node(i);
			this.fleet.add(node);
			this.byAddress.put(node.address.address(), node);
		}
		this.fleet.forEach(Node::registerAll);
		runFor(Duration.ofSeconds(3), 0);
	}

	// The endpoints announce the limit for three seconds before they let fewer wait.
	private void announce(double requestsPerSecond) {
		runFor(Duration.ofSeconds(2), requestsPerSecond);
		this.announced = true;
		runFor(Duration.ofSeconds(3), requestsPerSecond);
		this.queue = REDUCED_QUEUE;
		this.falls = 0;
		this.offered = 0;
		this.served = 0;
	}

	private void runFor(Duration time, double requestsPerSecond) {
		double perStep = requestsPerSecond * STEP.toNanos() / 1e9;
		double due = 0;
		for (long end = this.now + time.toNanos(); this.now < end; this.now += STEP.toNanos()) {
			due += perStep * 2 * this.random.nextDouble();
			for (; due >= 1; due--) {
				this.offered++;
				this.fleet.get(this.random.nextInt(this.fleet.size())).send(Set.of());
			}
			this.backends.forEach(Backend::advance);
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
		messages.forEach((message) -> Objects.requireNonNull(this.byAddress.get(message.to())).exchange
			.handleDatagram(message.from(), message.content()));
	}

	@SuppressWarnings("ArrayRecordComponent")
	private record Message(InetSocketAddress from, InetSocketAddress to, byte[] content) {
	}

	private record Request(Node node, Endpoint endpoint, Set<EndpointId> tried, long sentAt, int number) {
	}

	/**
	 * An endpoint that fails when it rejects too many requests within a second.
	 */
	private final class Backend {

		private final Map<Request, Long> running = new LinkedHashMap<>();

		private final Deque<Request> waiting = new ArrayDeque<>();

		private final Deque<Long> rejections = new ArrayDeque<>();

		private long downUntil = Long.MIN_VALUE;

		void receive(Request request) {
			long time = RejectionLimitFleetTests.this.now;
			if (time < this.downUntil) {
				request.endpoint().requestCompleted();
				request.endpoint().unreachable(time, time);
			}
			else if (this.running.size() < SLOTS) {
				run(request);
			}
			else if (this.waiting.size() < RejectionLimitFleetTests.this.queue) {
				this.waiting.add(request);
			}
			else {
				reject(request, time);
			}
		}

		private void run(Request request) {
			double serviceTime = SERVICE_TIME.toNanos() * (0.5 + RejectionLimitFleetTests.this.random.nextDouble());
			this.running.put(request, RejectionLimitFleetTests.this.now + (long) serviceTime);
		}

		private void reject(Request request, long time) {
			this.rejections.add(time);
			while (time - this.rejections.getFirst() >= Duration.ofSeconds(1).toNanos()) {
				this.rejections.removeFirst();
			}
			if (RejectionLimitFleetTests.this.announced && this.rejections.size() > TOLERATED_REJECTIONS) {
				RejectionLimitFleetTests.this.falls++;
				this.downUntil = time + RESTART_TIME.toNanos();
				this.rejections.clear();
				fail(this.running.keySet());
				fail(this.waiting);
			}
			request.node().rejected(request, this);
		}

		private void fail(Collection<Request> lost) {
			lost.forEach((request) -> {
				request.endpoint().requestCompleted();
				request.endpoint().requestFailed(RejectionLimitFleetTests.this.now, RejectionLimitFleetTests.this.now);
			});
			lost.clear();
		}

		void advance() {
			long time = RejectionLimitFleetTests.this.now;
			List<Request> done = new ArrayList<>();
			this.running.forEach((request, until) -> {
				if (until <= time) {
					done.add(request);
				}
			});
			for (Request request : done) {
				this.running.remove(request);
				if (!this.waiting.isEmpty()) {
					run(this.waiting.removeFirst());
				}
				request.node().answered(request, this);
			}
		}

		LoadReport load() {
			return new LoadReport(this.running.size(), this.waiting.size(), SLOTS, null);
		}

	}

	/**
	 * A gateway without callers and sockets.
	 */
	private final class Node implements PeerTransport {

		private final GatewayAddress address;

		private final long incarnation;

		private final PeerTable table;

		private final FleetExchange exchange;

		private final EndpointTable endpoints;

		private final PlacementRule placement;

		private final List<Message> outbox = new ArrayList<>();

		private long reportAt;

		private long tickAt;

		Node(int number) {
			DataCenterName dataCenter = new DataCenterName("dc-" + number % 3);
			this.incarnation = 1000L + number;
			this.address = new GatewayAddress("gateway-" + number,
					new InetSocketAddress("10.0.0." + (1 + number), 7500), dataCenter, 1);
			this.table = new PeerTable(this.incarnation, dataCenter);
			this.placement = new PlacementRule(dataCenter, RejectionLimitFleetTests.this.random.split()::nextDouble);
			this.endpoints = new EndpointTable(
					new FleetAllocation(this.address.name(), () -> this.exchange().gateways()));
			this.exchange = new FleetExchange(this.address, new EmbeddedChannel().eventLoop(),
					() -> RejectionLimitFleetTests.this.now, this, this.table, this::report, (used) -> {
					}, (records) -> {
					}, new RequestQuarantine(this.endpoints),
					new OnlyVersions(new UnreadVersions(), Duration.ofSeconds(2)));
			this.reportAt = Duration.ofMillis(number * 7L % 250).toNanos();
			for (int i = 0; i < RejectionLimitFleetTests.this.backends.size(); i++) {
				this.endpoints.put(new EndpointEntry(new EndpointId("e-" + i), SERVICE, "v1",
						new InetSocketAddress(InetAddress.getLoopbackAddress(), 1 + i),
						new DataCenterName("dc-" + i % 3), SLOTS, false, false, 1));
			}
		}

		private FleetExchange exchange() {
			return this.exchange;
		}

		void registerAll() {
			for (Node other : RejectionLimitFleetTests.this.fleet) {
				byte[] value = other.address.format().getBytes(StandardCharsets.UTF_8);
				this.exchange.directory().changed(new TopicRecord(0, other.address.name(), value));
			}
		}

		void send(Set<EndpointId> tried) {
			Placement placed = this.placement.choose(this.endpoints.endpointsOf(SERVICE), Prompt.NONE, tried,
					RejectionLimitFleetTests.this.now);
			if (placed == null) {
				return;
			}
			placed.endpoint().requestSent(Prompt.NONE, 0, RejectionLimitFleetTests.this.now);
			int number = Integer.parseInt(placed.endpoint().id().value().substring(2));
			RejectionLimitFleetTests.this.backends.get(number)
				.receive(new Request(this, placed.endpoint(), tried, RejectionLimitFleetTests.this.now,
						RejectionLimitFleetTests.this.sent++));
		}

		void answered(Request request, Backend backend) {
			RejectionLimitFleetTests.this.served++;
			request.endpoint().requestCompleted();
			request.endpoint().requestAnswered(true, RejectionLimitFleetTests.this.now);
			request.endpoint()
				.latency()
				.recordResponseTime(Duration.ofNanos(RejectionLimitFleetTests.this.now - request.sentAt()),
						RejectionLimitFleetTests.this.now);
			readState(request, backend);
		}

		// A request that was rejected once is tried at one other endpoint.
		void rejected(Request request, Backend backend) {
			request.endpoint().requestCompleted();
			request.endpoint().requestRejected(RejectionLimitFleetTests.this.now);
			readState(request, backend);
			if (request.tried().isEmpty()) {
				send(Set.of(request.endpoint().id()));
			}
		}

		private void readState(Request request, Backend backend) {
			request.endpoint().updateLoad(backend.load(), RejectionLimitFleetTests.this.now);
			if (RejectionLimitFleetTests.this.announced) {
				request.endpoint().announceToleratedRejections(TOLERATED_REJECTIONS, RejectionLimitFleetTests.this.now);
			}
		}

		void advance() {
			long time = RejectionLimitFleetTests.this.now;
			if (time >= this.reportAt) {
				this.reportAt = time + this.exchange.reportInterval().toNanos();
				this.exchange.report(time);
			}
			if (time >= this.tickAt) {
				this.tickAt = time + Duration.ofMillis(200).toNanos();
				this.table.expire(time);
				FleetView view = this.table.view(time);
				for (Endpoint endpoint : this.endpoints.all()) {
					EndpointLoad load = view.loads().getOrDefault(endpoint.id(), EndpointLoad.NONE);
					endpoint.updateRemoteLoad(load.inFlight(), load.pendingPrefillTokens());
				}
			}
		}

		private GatewayReport report() {
			Map<EndpointId, EndpointLoad> loads = new HashMap<>();
			for (Endpoint endpoint : this.endpoints.all()) {
				if (endpoint.inFlight() > 0) {
					loads.put(endpoint.id(), new EndpointLoad(endpoint.inFlight(), 0));
				}
			}
			TrafficTotals traffic = new TrafficTotals(Map.of(), Map.of(), Map.of(), loads, RolloutReport.NONE, Map.of(),
					Map.of());
			return new GatewayReport(this.incarnation, this.address.dataCenter(), traffic, false,
					SharedStateVersion.NONE);
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

}
