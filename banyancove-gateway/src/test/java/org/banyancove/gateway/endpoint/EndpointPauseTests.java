package org.banyancove.gateway.endpoint;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

import org.banyancove.core.DataCenterName;
import org.banyancove.core.EndpointId;
import org.banyancove.core.ServiceName;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that the gateways of a fleet comply with the pauses that endpoints ask each of
 * them for.
 */
class EndpointPauseTests {

	private static final ServiceName SERVICE = new ServiceName("service");

	private static final DataCenterName DATA_CENTER = new DataCenterName("zone");

	private static final Duration STEP = Duration.ofMillis(10);

	private static final Duration PAUSE = Duration.ofSeconds(3);

	private static final int ENDPOINTS = 9;

	/** Requests that one endpoint accepts in a second; it turns further ones away. */
	private static final int CAPACITY = 6;

	private static final Duration REACTION_TIME = Duration.ofMillis(500);

	private static final int MAXIMUM_REQUESTS_IN_PAUSE = 2;

	private final List<Node> fleet = new ArrayList<>();

	private final Map<EndpointId, Deque<Long>> arrivals = new HashMap<>();

	private SplittableRandom random = new SplittableRandom(1);

	private double lossRate;

	private boolean disrupted;

	private int pauses;

	private int maximumInPause;

	private long now;

	// Guards against endpoints that get requests although they asked for a pause, from
	// gateways that have requests in flight, stand still, were restarted, or lost the
	// endpoint's entry for a while.
	@ParameterizedTest
	@CsvSource({ "9, 0, false, 1", "9, 0.1, true, 2", "9, 0.1, true, 3", "90, 0, false, 4", "90, 0.1, true, 5",
			"90, 0.1, true, 6" })
	void anEndpointGetsNoRequestsWhileItIsPaused(int gateways, double lossRate, boolean disrupted, long seed) {
		this.random = new SplittableRandom(seed);
		this.lossRate = lossRate;
		this.disrupted = disrupted;
		for (int i = 0; i < gateways; i++) {
			this.fleet.add(new Node());
		}
		runFor(Duration.ofSeconds(30), 80);
		assertThat(this.pauses).isGreaterThan(20);
		assertThat(this.maximumInPause).isLessThanOrEqualTo(MAXIMUM_REQUESTS_IN_PAUSE);
	}

	// Guards against callers that wait without need, or return all at the same moment and
	// in another order than they came, while all endpoints of a service are paused.
	@Test
	void callersRejectedDuringAPauseReturnInOrderSoonAfterItsEnd() {
		Node node = new Node();
		for (Endpoint endpoint : node.endpoints.endpointsOf(SERVICE)) {
			endpoint.pause().request(PAUSE, 0);
		}
		long previous = 0;
		for (long at = 0; at < PAUSE.toNanos(); at += STEP.toNanos()) {
			assertThat(node.choose(at)).isNull();
			Duration retryAfter = node.placement.retryAfter(node.endpoints.endpointsOf(SERVICE), Set.of(), at);
			assertThat(retryAfter).isNotNull();
			long returnsAt = at + ((retryAfter != null) ? retryAfter.toNanos() : 0);
			assertThat(returnsAt).isGreaterThan(previous)
				.isBetween(PAUSE.toNanos(), PAUSE.multipliedBy(5).dividedBy(4).toNanos());
			assertThat(node.choose(returnsAt)).isNotNull();
			previous = returnsAt;
		}
	}

	// Guards against requests that are rejected because some endpoints of a service are
	// paused while others accept them.
	@Test
	void requestsAreSentToTheEndpointsThatAreNotPaused() {
		Node node = new Node();
		List<Endpoint> endpoints = node.endpoints.endpointsOf(SERVICE);
		endpoints.subList(1, ENDPOINTS).forEach((endpoint) -> endpoint.pause().request(PAUSE, 0));
		Placement placement = node.choose(1);
		assertThat(placement).isNotNull();
		assertThat((placement != null) ? placement.endpoint() : null).isEqualTo(endpoints.getFirst());
		assertThat(node.placement.retryAfter(endpoints, Set.of(), 1)).isNull();
	}

	// Guards against an endpoint whose pause ends early because it answers requests that
	// were sent before, or asks for a shorter one.
	@Test
	void answersDoNotEndAPause() {
		Endpoint endpoint = new Node().endpoints.endpointsOf(SERVICE).getFirst();
		endpoint.pause().request(PAUSE, 0);
		endpoint.requestAnswered(true, 1);
		endpoint.pause().request(Duration.ofMillis(10), 2);
		assertThat(endpoint.pause().remaining(0)).isEqualTo(PAUSE);
	}

	private void runFor(Duration time, int requestsPerSecond) {
		double perStep = requestsPerSecond * STEP.toNanos() / 1e9;
		for (long end = this.now + time.toNanos(); this.now < end; this.now += STEP.toNanos()) {
			if (this.random.nextDouble() < perStep) {
				randomNode().request();
			}
			if (this.disrupted && this.random.nextInt(50) == 0) {
				disrupt(randomNode());
			}
			this.fleet.forEach(Node::advance);
		}
	}

	private Node randomNode() {
		return this.fleet.get(this.random.nextInt(this.fleet.size()));
	}

	private void disrupt(Node node) {
		switch (this.random.nextInt(3)) {
			case 0 -> node.frozenUntil = this.now + Duration.ofMillis(200 + this.random.nextInt(2000)).toNanos();
			case 1 -> node.restart();
			default -> node.relist();
		}
	}

	private boolean overloaded(EndpointId endpoint) {
		Deque<Long> recent = this.arrivals.computeIfAbsent(endpoint, (id) -> new ArrayDeque<>());
		recent.add(this.now);
		while (this.now - recent.getFirst() > Duration.ofSeconds(1).toNanos()) {
			recent.removeFirst();
		}
		return recent.size() > CAPACITY;
	}

	private record Pending(Endpoint endpoint, boolean turnedAway, long answeredAt) {
	}

	/**
	 * A pause that was announced to a gateway.
	 */
	private static final class AnnouncedPause {

		private final long from;

		private final long until;

		private int requests;

		AnnouncedPause(long from, long until) {
			this.from = from;
			this.until = until;
		}

	}

	/**
	 * A gateway without callers and sockets.
	 */
	private final class Node {

		private final PlacementRule placement = new PlacementRule(DATA_CENTER, () -> 0);

		private final List<Pending> pending = new ArrayList<>();

		private final Map<EndpointId, AnnouncedPause> announced = new HashMap<>();

		private EndpointTable endpoints = newTable();

		private long frozenUntil = Long.MIN_VALUE;

		private EndpointTable newTable() {
			EndpointTable table = new EndpointTable(new FleetAllocation("gateway", () -> List.of("gateway")));
			for (int i = 0; i < ENDPOINTS; i++) {
				table.put(entry(i));
			}
			return table;
		}

		private EndpointEntry entry(int number) {
			return new EndpointEntry(new EndpointId("e-" + number), SERVICE, "v1",
					new InetSocketAddress(InetAddress.getLoopbackAddress(), 1 + number), DATA_CENTER, 10, false, false,
					1);
		}

		void restart() {
			this.endpoints = newTable();
			this.pending.clear();
			this.announced.clear();
		}

		void relist() {
			int number = EndpointPauseTests.this.random.nextInt(ENDPOINTS);
			this.endpoints.unlisted(entry(number).id(), null, EndpointPauseTests.this.now);
			this.endpoints.put(entry(number));
		}

		@Nullable Placement choose(long time) {
			return this.placement.choose(this.endpoints.endpointsOf(SERVICE), Prompt.NONE, Set.of(), time);
		}

		void request() {
			long time = EndpointPauseTests.this.now;
			if (time < this.frozenUntil) {
				return;
			}
			Placement placed = choose(time);
			if (placed == null) {
				return;
			}
			Endpoint endpoint = placed.endpoint();
			endpoint.requestSent(Prompt.NONE, 0, time);
			AnnouncedPause pause = this.announced.get(endpoint.id());
			if (pause != null && time > pause.from && time < pause.until) {
				pause.requests++;
				EndpointPauseTests.this.maximumInPause = Math.max(EndpointPauseTests.this.maximumInPause,
						pause.requests);
			}
			long latency = Duration.ofMillis(5 + EndpointPauseTests.this.random.nextInt(200)).toNanos();
			this.pending.add(new Pending(endpoint, overloaded(endpoint.id()), time + latency));
		}

		void advance() {
			long time = EndpointPauseTests.this.now;
			if (time < this.frozenUntil) {
				return;
			}
			List<Pending> due = this.pending.stream().filter((call) -> call.answeredAt() <= time).toList();
			this.pending.removeAll(due);
			due.forEach((call) -> answered(call, time));
		}

		private void answered(Pending call, long time) {
			call.endpoint().requestCompleted();
			if (EndpointPauseTests.this.random.nextDouble() < EndpointPauseTests.this.lossRate) {
				call.endpoint().requestFailed(time, time);
			}
			else if (call.turnedAway()) {
				call.endpoint().pause().request(PAUSE, time);
				EndpointPauseTests.this.pauses++;
				this.announced.put(call.endpoint().id(),
						new AnnouncedPause(time + REACTION_TIME.toNanos(), time + PAUSE.toNanos()));
			}
			else {
				call.endpoint().requestAnswered(true, time);
			}
		}

	}

}
