package org.banyancove.gateway.daemon;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.banyancove.core.DataCenterName;
import org.banyancove.core.EndpointId;
import org.banyancove.core.ServiceName;
import org.banyancove.gateway.configuration.CallerLimits;
import org.banyancove.gateway.configuration.Configuration;
import org.banyancove.gateway.configuration.EngineMemory;
import org.banyancove.gateway.configuration.Service;
import org.banyancove.gateway.duty.GatewayReport;
import org.banyancove.gateway.duty.PeerTable;
import org.banyancove.gateway.duty.SharedStateVersion;
import org.banyancove.gateway.duty.TrafficTotals;
import org.banyancove.gateway.endpoint.Endpoint;
import org.banyancove.gateway.endpoint.EndpointEntry;
import org.banyancove.gateway.endpoint.EndpointTable;
import org.banyancove.gateway.endpoint.FleetAllocation;
import org.banyancove.gateway.endpoint.LoadReport;
import org.banyancove.gateway.endpoint.PlacementRule;
import org.banyancove.gateway.endpoint.Prompt;
import org.banyancove.gateway.rollout.RolloutReport;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Gateways that exchange reports while one of their endpoints, which shares its machine,
 * is repeatedly 2.5 times slower for 800 ms.
 */
class SlowdownFleetTests {

	private static final ServiceName SERVICE = new ServiceName("engines");

	private static final DataCenterName DATA_CENTER = new DataCenterName("a");

	private static final EndpointId SLOWED = new EndpointId("e-0");

	private static final int ENDPOINTS = 6;

	private static final int GATEWAYS = 9;

	private static final int REQUESTS_PER_SECOND = 30;

	private static final int TOKENS = 2000;

	private static final int PREFILL_MILLIS = 55;

	private static final double SLOWDOWN = 2.5;

	private static final int EPISODES = 60;

	private static final int EPISODE_MILLIS = 6000;

	private static final int SLOW_FROM = 1000;

	private static final int SLOW_UNTIL = 1800;

	/** Part of its usual requests below which an endpoint is avoided. */
	private static final double AVOIDED_SHARE = 0.25;

	/** Time in an episode from which the announced value is forgotten. */
	private static final int FORGOTTEN_FROM = 4500;

	private static final int REPORT_INTERVAL = 250;

	private static final int TICK_INTERVAL = 200;

	private static final long MILLISECOND = Duration.ofMillis(1).toNanos();

	private final PeerMessageCodec codec = new PeerMessageCodec();

	private final SplittableRandom random = new SplittableRandom(5);

	private final List<Node> fleet = new ArrayList<>();

	private final PriorityQueue<Running> running = new PriorityQueue<>(Comparator.comparingInt(Running::until));

	/** When the first gateway heard of the slowdown, by episode. */
	private final Map<Integer, Integer> heardAt = new HashMap<>();

	private double sentWhileKnown;

	private double usualWhileKnown;

	private double sentAfterwards;

	private double usualAfterwards;

	// Guards against gateways that each send several requests to an endpoint before they
	// learn from their latency that it is slower, which is over by then.
	@Test
	void aSlowedEndpointIsAvoidedOnceOneGatewayHasHeardAndUsedAgainAfterwards() {
		run(true);
		assertThat(this.usualWhileKnown).isGreaterThan(20);
		assertThat(this.sentWhileKnown).isLessThan(AVOIDED_SHARE * this.usualWhileKnown);
		assertThat(this.sentAfterwards).isGreaterThan(this.usualAfterwards / 2);
	}

	// Guards against a replay that passes by load and learned latency alone.
	@Test
	void aSlowedEndpointThatAnnouncesItsUsualSpeedIsNotAvoided() {
		run(false);
		assertThat(this.usualWhileKnown).isGreaterThan(20);
		assertThat(this.sentWhileKnown).isGreaterThan(AVOIDED_SHARE * this.usualWhileKnown);
	}

	// Guards against a restarted endpoint that is avoided because gateways still report
	// what its former process announced.
	@Test
	void whatAFormerProcessAnnouncedIsDropped() {
		Node first = new Node(0);
		Node second = new Node(1);
		this.fleet.addAll(List.of(first, second));
		first.slowed().updateLoad(new LoadReport(0, 0, 16, SLOWDOWN), nanos(0));
		first.report(1);
		second.tick(2);
		assertThat(second.slowed().latency().slowdown().slowed(nanos(2))).isTrue();
		assertThat(second.reports.slowedEndpoints(nanos(2))).isOne();
		second.endpoints.put(entry(0, 2));
		assertThat(second.slowed().latency().slowdown().announced()).isFalse();
		first.report(3);
		second.tick(4);
		assertThat(second.slowed().latency().slowdown().announced()).isFalse();
		second.slowed().updateLoad(new LoadReport(0, 0, 16, 1.0), nanos(4));
		second.report(5);
		first.tick(6);
		assertThat(first.slowed().latency().slowdown().slowed(nanos(6))).as("not known to have restarted").isTrue();
	}

	private void run(boolean announcesSlowdown) {
		for (int i = 0; i < GATEWAYS; i++) {
			this.fleet.add(new Node(i));
		}
		for (int now = 0; now < EPISODES * EPISODE_MILLIS; now++) {
			answer(now, announcesSlowdown);
			for (Node node : this.fleet) {
				node.advance(now);
			}
			if (this.random.nextDouble() < REQUESTS_PER_SECOND / 1000.0) {
				this.fleet.get(this.random.nextInt(GATEWAYS)).send(now);
			}
		}
	}

	private void answer(int now, boolean announcesSlowdown) {
		while (!this.running.isEmpty() && this.running.element().until() <= now) {
			Running request = this.running.remove();
			Endpoint endpoint = request.endpoint();
			double slowdown = slowdown(endpoint.id(), now);
			if (slowdown > 1) {
				this.heardAt.putIfAbsent(now / EPISODE_MILLIS, now);
			}
			endpoint.updateLoad(new LoadReport(0, 0, 16, announcesSlowdown ? slowdown : 1.0), nanos(now));
			endpoint.prefillCompleted(TOKENS);
			endpoint.requestCompleted();
			endpoint.latency().recordTimeToFirstToken(Duration.ofMillis(now - request.sentAt()), TOKENS, nanos(now));
		}
	}

	private void count(EndpointId endpoint, int now) {
		int time = now % EPISODE_MILLIS;
		Integer heard = this.heardAt.get(now / EPISODE_MILLIS);
		int sent = endpoint.equals(SLOWED) ? 1 : 0;
		if (heard != null && now >= heard + REPORT_INTERVAL + TICK_INTERVAL && time < SLOW_UNTIL) {
			this.sentWhileKnown += sent;
			this.usualWhileKnown += 1.0 / ENDPOINTS;
		}
		if (time >= FORGOTTEN_FROM) {
			this.sentAfterwards += sent;
			this.usualAfterwards += 1.0 / ENDPOINTS;
		}
	}

	private static double slowdown(EndpointId endpoint, int now) {
		int time = now % EPISODE_MILLIS;
		return (endpoint.equals(SLOWED) && time >= SLOW_FROM && time < SLOW_UNTIL) ? SLOWDOWN : 1;
	}

	private static long nanos(int millis) {
		return (60_000 + millis) * MILLISECOND;
	}

	private static EndpointEntry entry(int number, long startedAt) {
		return new EndpointEntry(new EndpointId("e-" + number), SERVICE, "v1",
				new InetSocketAddress(InetAddress.getLoopbackAddress(), 1), DATA_CENTER, 16, false, false, startedAt);
	}

	private record Running(Endpoint endpoint, int sentAt, int until) {
	}

	/**
	 * A gateway without callers and sockets.
	 */
	private final class Node {

		private final int number;

		private final PeerTable peers;

		private final EndpointTable endpoints = new EndpointTable(
				new FleetAllocation("gateway", () -> List.of("gateway")));

		private final EndpointReports reports = new EndpointReports(this.endpoints,
				new GatewayMetrics(new PrometheusRegistry()));

		private final PlacementRule placement = new PlacementRule(DATA_CENTER,
				SlowdownFleetTests.this.random::nextDouble);

		Node(int number) {
			this.number = number;
			this.peers = new PeerTable(number + 1L, DATA_CENTER);
			this.endpoints.configure(new Configuration(1, List.of(),
					List.of(new Service(SERVICE, 100, new EngineMemory(600_000, 0.001), null)), List.of(),
					CallerLimits.DEFAULT));
			for (int i = 0; i < ENDPOINTS; i++) {
				this.endpoints.put(entry(i, 1));
			}
		}

		Endpoint slowed() {
			return Objects.requireNonNull(this.endpoints.get(SLOWED));
		}

		void advance(int now) {
			if (now % REPORT_INTERVAL == this.number * 25 % REPORT_INTERVAL) {
				report(now);
			}
			if (now % TICK_INTERVAL == this.number * 20 % TICK_INTERVAL) {
				tick(now);
			}
		}

		void report(int now) {
			TrafficTotals traffic = new TrafficTotals(Map.of(), Map.of(), Map.of(), this.reports.loads(),
					RolloutReport.NONE, this.reports.rateLimits(nanos(now)), this.reports.slowdowns(nanos(now)));
			byte[] datagram = SlowdownFleetTests.this.codec.write(new PeerMessage.Report(
					new GatewayReport(this.number + 1L, DATA_CENTER, traffic, false, SharedStateVersion.NONE)));
			for (Node other : SlowdownFleetTests.this.fleet) {
				if (other != this
						&& SlowdownFleetTests.this.codec.read(datagram) instanceof PeerMessage.Report received) {
					other.peers.receive(received.report(), nanos(now));
				}
			}
		}

		void tick(int now) {
			this.reports.apply(this.peers.view(nanos(now)), nanos(now));
		}

		void send(int now) {
			Prompt prompt = new Prompt(List.of(), TOKENS, 100);
			Endpoint endpoint = Objects
				.requireNonNull(
						this.placement.choose(this.endpoints.endpointsOf(SERVICE), prompt, Set.of(), nanos(now)))
				.endpoint();
			endpoint.requestSent(prompt, TOKENS, nanos(now));
			int duration = (int) (PREFILL_MILLIS * slowdown(endpoint.id(), now));
			SlowdownFleetTests.this.running.add(new Running(endpoint, now, now + duration));
			count(endpoint.id(), now);
		}

	}

}
