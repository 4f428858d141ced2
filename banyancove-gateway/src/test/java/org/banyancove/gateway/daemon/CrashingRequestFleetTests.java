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
import java.util.SplittableRandom;

import io.netty.channel.embedded.EmbeddedChannel;
import org.banyancove.core.DataCenterName;
import org.banyancove.core.EndpointId;
import org.banyancove.core.ServiceName;
import org.banyancove.core.suspect.Fingerprint;
import org.banyancove.gateway.duty.GatewayReport;
import org.banyancove.gateway.duty.PeerTable;
import org.banyancove.gateway.duty.SharedStateVersion;
import org.banyancove.gateway.duty.TrafficTotals;
import org.banyancove.gateway.endpoint.Endpoint;
import org.banyancove.gateway.endpoint.EndpointEntry;
import org.banyancove.gateway.endpoint.EndpointTable;
import org.banyancove.gateway.endpoint.FleetAllocation;
import org.banyancove.gateway.quarantine.RequestQuarantine;
import org.banyancove.gateway.quarantine.SuspectKeys;
import org.banyancove.gateway.resumption.OnlyVersions;
import org.banyancove.gateway.rollout.RolloutReport;
import org.banyancove.gateway.shared.TopicRecord;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that a fleet stops sending a request that crashes its endpoints, and goes on
 * sending requests that endpoints had when they ended for another cause.
 */
class CrashingRequestFleetTests {

	private static final ServiceName SERVICE = new ServiceName("service");

	private static final Fingerprint CRASHING = new Fingerprint(1, 1);

	private static final Fingerprint POPULAR = new Fingerprint(2, 2);

	private static final int DATA_CENTERS = 3;

	private static final int ENDPOINTS = 12;

	private static final Duration STEP = Duration.ofMillis(10);

	private static final Duration QUEUE_TIME = Duration.ofMillis(250);

	private static final Duration RESPONSE_TIME = Duration.ofMillis(400);

	private static final Duration RESTART_TIME = Duration.ofSeconds(3);

	/**
	 * Time after the third crash, and after a disruption of a gateway, by which gateways
	 * must know.
	 */
	private static final Duration CONTACT_TIME = Duration.ofSeconds(3);

	private static final int MAXIMUM_LATE_ARRIVALS = 3;

	private final List<Node> fleet = new ArrayList<>();

	private final Map<InetSocketAddress, Node> byAddress = new HashMap<>();

	private final Backend[] backends = new Backend[ENDPOINTS];

	private SplittableRandom random = new SplittableRandom(1);

	private double lossRate;

	private boolean disrupted;

	private int crashes;

	private @Nullable Long thirdCrashAt;

	private int lateArrivals;

	private int rejected;

	private int answered;

	private long now;

	// Guards against a request that crashes one endpoint after another because gateways
	// don't recognize its copies, lose reports, stand still or were restarted.
	@ParameterizedTest
	@CsvSource({ "9, 0, false, 1", "9, 0.1, true, 2", "9, 0.1, true, 3", "90, 0, false, 4", "90, 0.1, true, 5",
			"90, 0.1, true, 6" })
	void aFleetStopsSendingARequestThatCrashedThreeEndpoints(int gateways, double lossRate, boolean disrupted,
			long seed) {
		start(gateways, seed);
		this.lossRate = lossRate;
		this.disrupted = disrupted;
		runFor(Duration.ofSeconds(40), CRASHING, 4);
		assertThat(this.crashes).isGreaterThanOrEqualTo(3);
		assertThat(this.lateArrivals).as("sent later than 3 s after the third crash")
			.isLessThanOrEqualTo(MAXIMUM_LATE_ARRIVALS);
	}

	// Guards against the rejection of a popular prompt that many endpoints had when their
	// data center was reclaimed, all at once or one after another.
	@ParameterizedTest
	@CsvSource({ "9, 0, 1", "9, 300, 2", "9, 900, 3", "90, 0, 4", "90, 300, 5", "90, 900, 6" })
	void aPopularRequestIsServedWhileADataCenterIsReclaimed(int gateways, int intervalMillis, long seed) {
		start(gateways, seed);
		this.lossRate = 0.02;
		runFor(Duration.ofSeconds(4), POPULAR, 60);
		for (int i = 0; i < ENDPOINTS; i += DATA_CENTERS) {
			this.backends[i].end(Duration.ofSeconds(20));
			runFor(Duration.ofMillis(intervalMillis), POPULAR, 60);
		}
		runFor(Duration.ofSeconds(5), POPULAR, 60);
		assertThat(this.answered).isGreaterThan(300);
		assertThat(this.rejected).as("rejected").isZero();
	}

	// Guards against the rejection of a popular prompt for as long as a quarantine lasts,
	// because a gateway whose connections were reset blames the prompt.
	@ParameterizedTest
	@CsvSource({ "9, 1", "90, 2" })
	void aPopularRequestIsServedAfterAGatewayLostItsConnections(int gateways, long seed) {
		start(gateways, seed);
		runFor(Duration.ofSeconds(4), POPULAR, 60);
		for (int i = 0; i < 4; i++) {
			this.fleet.getFirst().resetConnections();
			runFor(Duration.ofMillis(450), POPULAR, 60);
		}
		runFor(Duration.ofSeconds(2), POPULAR, 60);
		this.rejected = 0;
		runFor(Duration.ofSeconds(10), POPULAR, 60);
		assertThat(this.rejected).as("rejected").isZero();
	}

	private void start(int gateways, long seed) {
		this.random = new SplittableRandom(seed);
		for (int i = 0; i < ENDPOINTS; i++) {
			this.backends[i] = new Backend(i);
		}
		for (int i = 0; i < gateways; i++) {
			Node node = new Node(i);
			this.fleet.add(node);
			this.byAddress.put(node.address.address(), node);
		}
		this.fleet.forEach(Node::restart);
		runFor(Duration.ofSeconds(4), POPULAR, 0);
	}

	private void runFor(Duration time, Fingerprint request, int requestsPerSecond) {
		double perStep = requestsPerSecond * STEP.toNanos() / 1e9;
		for (long end = this.now + time.toNanos(); this.now < end; this.now += STEP.toNanos()) {
			if (this.random.nextDouble() < perStep) {
				this.fleet.get(this.random.nextInt(this.fleet.size())).receive(request);
			}
			if (this.disrupted && this.random.nextInt(100) == 0) {
				disrupt(this.fleet.get(this.random.nextInt(this.fleet.size())));
			}
			for (Backend backend : this.backends) {
				backend.advance();
			}
			this.fleet.forEach(Node::advance);
			deliver();
		}
	}

	private static SuspectKeys keys(Fingerprint request) {
		return new SuspectKeys(request, List.of());
	}

	private void disrupt(Node node) {
		if (this.random.nextBoolean()) {
			node.frozenUntil = this.now + Duration.ofMillis(200 + this.random.nextInt(1800)).toNanos();
		}
		else {
			node.restart();
		}
		node.disruptedAt = Math.max(this.now, node.frozenUntil);
	}

	private void deliver() {
		List<Message> messages = new ArrayList<>();
		this.fleet.forEach((node) -> {
			messages.addAll(node.outbox);
			node.outbox.clear();
		});
		for (Message message : messages) {
			Node receiver = this.byAddress.get(message.to());
			if (receiver != null && this.random.nextDouble() >= this.lossRate) {
				receiver.inbox.add(message);
			}
		}
	}

	@SuppressWarnings("ArrayRecordComponent")
	private record Message(InetSocketAddress from, InetSocketAddress to, byte[] content) {
	}

	private record Running(Fingerprint request, Endpoint endpoint, Backend backend, int incarnation, long sentAt,
			boolean firstAttempt) {
	}

	/**
	 * An endpoint that ends when it begins to run a crashing request, and starts again
	 * under another identifier.
	 */
	private final class Backend {

		private final int number;

		private int incarnation;

		private long endedUntil = Long.MIN_VALUE;

		private final Deque<Running> runs = new ArrayDeque<>();

		Backend(int number) {
			this.number = number;
		}

		boolean alive() {
			return CrashingRequestFleetTests.this.now >= this.endedUntil;
		}

		void end(Duration restartTime) {
			this.endedUntil = CrashingRequestFleetTests.this.now + restartTime.toNanos();
			this.incarnation++;
			this.runs.clear();
		}

		void advance() {
			long time = CrashingRequestFleetTests.this.now;
			boolean crashes = this.runs.stream()
				.anyMatch((run) -> run.request().equals(CRASHING) && time - run.sentAt() >= QUEUE_TIME.toNanos());
			if (crashes) {
				end(RESTART_TIME);
				CrashingRequestFleetTests.this.crashes++;
				if (CrashingRequestFleetTests.this.crashes == 3) {
					CrashingRequestFleetTests.this.thirdCrashAt = time;
				}
			}
		}

		EndpointEntry entry() {
			return new EndpointEntry(new EndpointId("e-" + this.number + "-" + this.incarnation), SERVICE, "v1",
					new InetSocketAddress(InetAddress.getLoopbackAddress(), 1 + this.number),
					new DataCenterName("dc-" + this.number % DATA_CENTERS), 100, false, false, 1);
		}

	}

	/**
	 * A gateway without callers and sockets.
	 */
	private final class Node implements PeerTransport {

		private final int number;

		private final DataCenterName dataCenter;

		private final GatewayAddress address;

		private final List<Message> outbox = new ArrayList<>();

		private final List<Message> inbox = new ArrayList<>();

		private final Deque<Running> running = new ArrayDeque<>();

		private long incarnation;

		private PeerTable table;

		private FleetExchange exchange;

		private EndpointTable endpoints;

		private RequestQuarantine quarantine;

		private long reportAt;

		private long tickAt;

		private long frozenUntil = Long.MIN_VALUE;

		private @Nullable Long disruptedAt;

		Node(int number) {
			this.number = number;
			this.dataCenter = new DataCenterName("dc-" + number % DATA_CENTERS);
			this.address = new GatewayAddress("gateway-" + number,
					new InetSocketAddress("10.0.0." + (1 + number), 7500), this.dataCenter, 1);
			this.table = new PeerTable(1, this.dataCenter);
			this.endpoints = newEndpoints();
			this.quarantine = new RequestQuarantine(this.endpoints);
			this.exchange = newExchange();
		}

		private EndpointTable newEndpoints() {
			return new EndpointTable(new FleetAllocation(this.address.name(), () -> List.of(this.address.name())));
		}

		private FleetExchange newExchange() {
			return new FleetExchange(this.address, new EmbeddedChannel().eventLoop(),
					() -> CrashingRequestFleetTests.this.now, this, this.table, this::report, (used) -> {
					}, (records) -> {
					}, this.quarantine, new OnlyVersions(new UnreadVersions(), Duration.ofSeconds(2)));
		}

		void restart() {
			this.incarnation = CrashingRequestFleetTests.this.random.nextLong() >>> 1;
			this.running.clear();
			this.inbox.clear();
			this.table = new PeerTable(this.incarnation, this.dataCenter);
			this.endpoints = newEndpoints();
			this.quarantine = new RequestQuarantine(this.endpoints);
			this.exchange = newExchange();
			for (Node other : CrashingRequestFleetTests.this.fleet) {
				byte[] value = other.address.format().getBytes(StandardCharsets.UTF_8);
				this.exchange.directory().changed(new TopicRecord(0, other.address.name(), value));
			}
			this.reportAt = CrashingRequestFleetTests.this.now + Duration.ofMillis(this.number * 7L % 250).toNanos();
		}

		private boolean frozen() {
			return CrashingRequestFleetTests.this.now < this.frozenUntil;
		}

		private boolean inTouch() {
			return this.disruptedAt == null
					|| CrashingRequestFleetTests.this.now - this.disruptedAt > CONTACT_TIME.toNanos();
		}

		void receive(Fingerprint request) {
			if (!frozen()) {
				send(request, true);
			}
		}

		private void send(Fingerprint request, boolean firstAttempt) {
			long time = CrashingRequestFleetTests.this.now;
			if (this.quarantine.remaining(keys(request), time).isPositive()) {
				CrashingRequestFleetTests.this.rejected++;
				return;
			}
			List<Backend> alive = new ArrayList<>(List.of(CrashingRequestFleetTests.this.backends));
			alive.removeIf((backend) -> !backend.alive());
			if (alive.isEmpty()) {
				return;
			}
			Backend backend = alive.get(CrashingRequestFleetTests.this.random.nextInt(alive.size()));
			this.endpoints.put(backend.entry());
			Endpoint endpoint = this.endpoints.get(backend.entry().id());
			if (endpoint == null) {
				return;
			}
			Running run = new Running(request, endpoint, backend, backend.incarnation, time, firstAttempt);
			this.running.add(run);
			backend.runs.add(run);
			Long third = CrashingRequestFleetTests.this.thirdCrashAt;
			if (request.equals(CRASHING) && third != null && time - third > CONTACT_TIME.toNanos() && inTouch()) {
				CrashingRequestFleetTests.this.lateArrivals++;
			}
		}

		void resetConnections() {
			List<Running> lost = List.copyOf(this.running);
			this.running.clear();
			lost.forEach((run) -> {
				run.backend().runs.remove(run);
				lost(run);
			});
		}

		private void lost(Running run) {
			this.quarantine.recordLoss(keys(run.request()), false, run.endpoint().id(), run.sentAt(),
					CrashingRequestFleetTests.this.now);
			if (run.firstAttempt()) {
				send(run.request(), false);
			}
		}

		void advance() {
			if (frozen()) {
				return;
			}
			long time = CrashingRequestFleetTests.this.now;
			this.inbox.forEach((message) -> this.exchange.handleDatagram(message.from(), message.content()));
			this.inbox.clear();
			for (Running run : List.copyOf(this.running)) {
				if (run.backend().incarnation != run.incarnation()) {
					this.running.remove(run);
					lost(run);
				}
				else if (time - run.sentAt() >= RESPONSE_TIME.toNanos()) {
					this.running.remove(run);
					run.backend().runs.remove(run);
					run.endpoint().processLife().answered(run.sentAt(), run.sentAt());
					this.quarantine.recordCompletion(keys(run.request()), time, time);
					CrashingRequestFleetTests.this.answered++;
				}
			}
			if (time >= this.reportAt) {
				this.reportAt = time + this.exchange.reportInterval().toNanos();
				this.exchange.report(time);
			}
			if (time >= this.tickAt) {
				this.tickAt = time + Duration.ofMillis(200).toNanos();
				this.table.expire(time);
				this.quarantine.expire(time);
			}
		}

		private GatewayReport report() {
			TrafficTotals traffic = new TrafficTotals(Map.of(), Map.of(), Map.of(), Map.of(), RolloutReport.NONE,
					Map.of(), Map.of());
			return new GatewayReport(this.incarnation, this.dataCenter, traffic, false, SharedStateVersion.NONE);
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
