package org.banyancove.gateway.daemon;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.SplittableRandom;

import io.netty.channel.embedded.EmbeddedChannel;
import org.banyancove.core.DataCenterName;
import org.banyancove.core.EndpointId;
import org.banyancove.core.ServiceName;
import org.banyancove.gateway.duty.GatewayReport;
import org.banyancove.gateway.duty.PeerTable;
import org.banyancove.gateway.duty.SharedStateVersion;
import org.banyancove.gateway.duty.TrafficTotals;
import org.banyancove.gateway.endpoint.Endpoint;
import org.banyancove.gateway.endpoint.EndpointEntry;
import org.banyancove.gateway.endpoint.EndpointTable;
import org.banyancove.gateway.endpoint.FleetAllocation;
import org.banyancove.gateway.endpoint.ObservedRateLimit;
import org.banyancove.gateway.endpoint.Placement;
import org.banyancove.gateway.endpoint.PlacementRule;
import org.banyancove.gateway.endpoint.Prompt;
import org.banyancove.gateway.quarantine.RequestQuarantine;
import org.banyancove.gateway.resumption.OnlyVersions;
import org.banyancove.gateway.rollout.RolloutReport;
import org.banyancove.gateway.shared.TopicRecord;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that a fleet complies with the rate limit that an endpoint announces to some of
 * its gateways.
 */
class EndpointRateLimitTests {

	private static final ServiceName SERVICE = new ServiceName("service");

	private static final EndpointId LIMITED = new EndpointId("limited");

	private static final EndpointId OTHER = new EndpointId("other");

	private static final Duration STEP = Duration.ofMillis(10);

	private static final Duration RESPONSE_TIME = Duration.ofMillis(60);

	/**
	 * Time after which the limit must be met, from the first response that announced it.
	 */
	private static final Duration CONVERGENCE_TIME = Duration.ofSeconds(3);

	private static final Duration WINDOW = Duration.ofSeconds(4);

	private static final double MAXIMUM_OVERSHOOT = 1.5;

	private static final int SLACK = 5;

	private final List<Node> fleet = new ArrayList<>();

	private final Map<InetSocketAddress, Node> byAddress = new HashMap<>();

	private final List<Long> arrivals = new ArrayList<>();

	private final SplittableRandom random = new SplittableRandom(7);

	private @Nullable Double limit;

	private long now;

	// Guards against a fleet that exceeds a limit, because each gateway uses the full
	// limit or ignores it.
	@ParameterizedTest
	@CsvSource({ "9, 1, 30", "9, 1.4, 30", "9, 0.3, 30", "9, 12, 60", "60, 1, 300", "60, 5, 300", "60, 40, 300" })
	void allGatewaysTogetherStayWithinTheLimitOfAnEndpoint(int gateways, double requestsPerSecond,
			int offeredRequestsPerSecond) {
		start(gateways);
		this.limit = requestsPerSecond;
		runFor(Duration.ofSeconds(2), offeredRequestsPerSecond);
		runFor(CONVERGENCE_TIME, offeredRequestsPerSecond);
		this.arrivals.clear();
		runFor(Duration.ofSeconds(30), offeredRequestsPerSecond);
		assertThat(maximumArrivals(WINDOW))
			.isLessThanOrEqualTo((int) (MAXIMUM_OVERSHOOT * requestsPerSecond * WINDOW.toSeconds() + SLACK));
		assertThat(this.arrivals.size()).as("use of the limit").isGreaterThan((int) (requestsPerSecond * 30 * 0.4));
	}

	// Guards against an endpoint that is avoided permanently after it has removed its
	// limit.
	@Test
	void anEndpointReceivesItsShareAgainAfterItsLimitIsRemoved() {
		start(9);
		this.limit = 1.0;
		runFor(Duration.ofSeconds(10), 30);
		this.limit = null;
		runFor(Duration.ofSeconds(8), 30);
		this.arrivals.clear();
		runFor(Duration.ofSeconds(10), 30);
		assertThat(this.arrivals.size()).isGreaterThan(100);
	}

	private int maximumArrivals(Duration window) {
		int maximum = 0;
		Deque<Long> inWindow = new ArrayDeque<>();
		for (long at : this.arrivals) {
			inWindow.add(at);
			while (at - inWindow.getFirst() >= window.toNanos()) {
				inWindow.removeFirst();
			}
			maximum = Math.max(maximum, inWindow.size());
		}
		return maximum;
	}

	private void start(int gateways) {
		for (int i = 0; i < gateways; i++) {
			Node node = new Node(i);
			this.fleet.add(node);
			this.byAddress.put(node.address.address(), node);
		}
		this.fleet.forEach(Node::registerAll);
		runFor(Duration.ofSeconds(3), 0);
	}

	private void runFor(Duration time, int requestsPerSecond) {
		double perStep = requestsPerSecond * STEP.toNanos() / 1e9;
		for (long end = this.now + time.toNanos(); this.now < end; this.now += STEP.toNanos()) {
			for (double due = perStep; this.random.nextDouble() < due; due -= 1) {
				this.fleet.get(this.random.nextInt(this.fleet.size())).request();
			}
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

	private record Running(Endpoint endpoint, long until) {
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

		private final Deque<Running> running = new ArrayDeque<>();

		private long reportAt;

		private long tickAt;

		Node(int number) {
			DataCenterName dataCenter = new DataCenterName("dc-" + number % 3);
			this.incarnation = 1000L + number;
			this.address = new GatewayAddress("gateway-" + number,
					new InetSocketAddress("10.0.0." + (1 + number), 7500), dataCenter, 1);
			this.table = new PeerTable(this.incarnation, dataCenter);
			this.placement = new PlacementRule(dataCenter, () -> 0);
			this.endpoints = new EndpointTable(
					new FleetAllocation(this.address.name(), () -> this.exchange().gateways()));
			this.exchange = new FleetExchange(this.address, new EmbeddedChannel().eventLoop(),
					() -> EndpointRateLimitTests.this.now, this, this.table, this::report, (used) -> {
					}, (records) -> {
					}, new RequestQuarantine(this.endpoints),
					new OnlyVersions(new UnreadVersions(), Duration.ofSeconds(2)));
			this.reportAt = Duration.ofMillis(number * 7L % 250).toNanos();
			this.endpoints.put(entry(LIMITED, dataCenter));
			this.endpoints.put(entry(OTHER, dataCenter));
		}

		private FleetExchange exchange() {
			return this.exchange;
		}

		private static EndpointEntry entry(EndpointId id, DataCenterName dataCenter) {
			return new EndpointEntry(id, SERVICE, "v1", new InetSocketAddress(InetAddress.getLoopbackAddress(), 1),
					dataCenter, 100, false, false, 1);
		}

		void registerAll() {
			for (Node other : EndpointRateLimitTests.this.fleet) {
				byte[] value = other.address.format().getBytes(StandardCharsets.UTF_8);
				this.exchange.directory().changed(new TopicRecord(0, other.address.name(), value));
			}
		}

		void request() {
			long time = EndpointRateLimitTests.this.now;
			Placement placed = this.placement.choose(this.endpoints.endpointsOf(SERVICE), Prompt.NONE, Set.of(), time);
			if (placed == null) {
				return;
			}
			placed.endpoint().requestSent(Prompt.NONE, 0, time);
			placed.endpoint().rateLimiter().sent(time);
			this.running.add(new Running(placed.endpoint(), time + RESPONSE_TIME.toNanos()));
			if (placed.endpoint().id().equals(LIMITED)) {
				EndpointRateLimitTests.this.arrivals.add(time);
			}
		}

		void advance() {
			long time = EndpointRateLimitTests.this.now;
			while (!this.running.isEmpty() && this.running.getFirst().until() <= time) {
				Endpoint endpoint = this.running.removeFirst().endpoint();
				endpoint.requestCompleted();
				endpoint.requestAnswered(true, time);
				boolean limited = endpoint.id().equals(LIMITED);
				endpoint.rateLimiter().observe(limited ? EndpointRateLimitTests.this.limit : null, time, time);
			}
			if (time >= this.reportAt) {
				this.reportAt = time + this.exchange.reportInterval().toNanos();
				this.exchange.report(time);
			}
			if (time >= this.tickAt) {
				this.tickAt = time + Duration.ofMillis(200).toNanos();
				this.table.expire(time);
				this.table.view(time)
					.rateLimits()
					.forEach((id, observed) -> endpoint(id).rateLimiter()
						.observe(observed.requestsPerSecond(), time - observed.age().toNanos(), time));
			}
		}

		private Endpoint endpoint(EndpointId id) {
			return Objects.requireNonNull(this.endpoints.get(id));
		}

		private GatewayReport report() {
			ObservedRateLimit observed = endpoint(LIMITED).rateLimiter().observed(EndpointRateLimitTests.this.now);
			TrafficTotals traffic = new TrafficTotals(Map.of(), Map.of(), Map.of(), Map.of(), RolloutReport.NONE,
					(observed != null) ? Map.of(LIMITED, observed) : Map.of(), Map.of());
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
