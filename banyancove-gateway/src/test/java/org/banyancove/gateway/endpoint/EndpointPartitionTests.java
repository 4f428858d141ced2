package org.banyancove.gateway.endpoint;

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
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;

import org.banyancove.core.DataCenterName;
import org.banyancove.core.EndpointId;
import org.banyancove.core.ServiceName;
import org.banyancove.gateway.configuration.CallerLimits;
import org.banyancove.gateway.configuration.Configuration;
import org.banyancove.gateway.configuration.EngineMemory;
import org.banyancove.gateway.configuration.Route;
import org.banyancove.gateway.configuration.RouteKind;
import org.banyancove.gateway.configuration.Service;
import org.banyancove.gateway.configuration.WeightedService;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class EndpointPartitionTests {

	private static final Duration SHORT_TARGET = Duration.ofMillis(504);

	private static final Duration LONG_TARGET = Duration.ofMillis(1008);

	private static final double SHORT_PREFILL = 38;

	private static final double LONG_PREFILL = 250;

	private final EndpointPartition partition = new EndpointPartition();

	// Guards against short prompts that are late at a fleet with a third of its capacity
	// to spare. All gateways send to the endpoint that looks least loaded until the next
	// report, and short prompts wait behind long ones.
	@Test
	void shortPromptsMeetTheirTargetWithReportsThatAreOlderThanAPrefill() {
		assertThat(new Replay(true).run(267, 63)).isLessThan(252.0);
		assertThat(new Replay(false).run(267, 63)).isGreaterThan(504.0);
	}

	// Guards against a burst of long prompts that makes short ones late.
	@Test
	void shortPromptsMeetTheirTargetInABurstOfLongOnes() {
		assertThat(new Replay(true).run(267, 90)).isLessThan(504.0);
		assertThat(new Replay(false).run(267, 90)).isGreaterThan(504.0);
	}

	@Test
	void endpointsAreNotDividedUnlessTheyAnnounceASlowdown() {
		configure(SHORT_TARGET, LONG_TARGET);
		assertThat(this.partition.applies(40)).isFalse();
		this.partition.recordSlowdownAnnounced();
		assertThat(this.partition.applies(40)).isTrue();
		assertThat(this.partition.applies(5)).isFalse();
	}

	@Test
	void noEndpointIsReservedForASingleTarget() {
		configure(SHORT_TARGET);
		assertThat(this.partition.share(RequestClass.SHORTEST_TARGET)).isZero();
	}

	@Test
	void noEndpointIsReservedForTheShortestTargetIfPromptsTakeSimilarTimes() {
		configure(SHORT_TARGET, LONG_TARGET);
		record(100, 60, 80);
		assertThat(this.partition.share(RequestClass.SHORTEST_TARGET)).isZero();
	}

	// Guards against usual prompts that wait behind prompts of several times their
	// length.
	@Test
	void largePromptsHaveEndpointsOfTheirOwn() {
		configure(SHORT_TARGET, LONG_TARGET);
		record(100, 40, 120);
		for (int i = 0; i < 50; i++) {
			this.partition.record(LONG_TARGET, prompt(6_000), 120, 0);
			this.partition.record(LONG_TARGET, prompt(40_000), 500, 0);
		}
		assertThat(this.partition.classOf(LONG_TARGET, prompt(40_000))).isEqualTo(RequestClass.LARGE_PROMPT);
		assertThat(this.partition.classOf(LONG_TARGET, prompt(6_000))).isEqualTo(RequestClass.LONGER_TARGET);
		assertThat(this.partition.share(RequestClass.LARGE_PROMPT)).isBetween(0.3, 0.7);
	}

	@Test
	void theShareFollowsTheEngineTimeOfTheClasses() {
		configure(SHORT_TARGET, LONG_TARGET);
		record(200, 30, 120);
		assertThat(this.partition.share(RequestClass.SHORTEST_TARGET)).isCloseTo(0.2, within(0.101));
	}

	// Guards against owners of cached prefixes that move back and forth with a share
	// between two steps.
	@Test
	void theShareDoesNotAlternateBetweenTwoSteps() {
		configure(SHORT_TARGET, LONG_TARGET);
		record(400, 44, 100);
		double before = this.partition.share(RequestClass.SHORTEST_TARGET);
		for (int i = 0; i < 100; i++) {
			record(1, 45, 97);
			assertThat(this.partition.share(RequestClass.SHORTEST_TARGET)).isEqualTo(before);
		}
	}

	private void configure(Duration... targets) {
		this.partition.configure(new TreeSet<>(List.of(targets)));
	}

	private void record(int count, double shortMillis, double longMillis) {
		for (int i = 0; i < count; i++) {
			this.partition.record(SHORT_TARGET, prompt(1_800), shortMillis, 0);
			this.partition.record(LONG_TARGET, prompt(6_000), longMillis, 0);
		}
	}

	private static Prompt prompt(int tokens) {
		return new Prompt(List.of(), tokens, 100);
	}

	/**
	 * Replays 27 gateways that place prompts on 42 endpoints, which prefill one prompt at
	 * a time, with load reports that are 0.25 to 0.5 s old.
	 */
	private static final class Replay {

		private static final int GATEWAYS = 27;

		private static final int ENDPOINTS = 42;

		private static final int MILLIS = 20_000;

		private static final int REPORT_INTERVAL = 250;

		private static final int LONG_TOKENS = 12_000;

		private static final ServiceName SERVICE = new ServiceName("engines");

		private final Random random = new Random(1);

		private final List<EndpointTable> tables = new ArrayList<>();

		private final List<PlacementRule> rules = new ArrayList<>();

		private final Map<EndpointId, Double> busyUntil = new HashMap<>();

		private final PriorityQueue<Completion> completions = new PriorityQueue<>(
				Comparator.comparingDouble(Completion::at));

		private final List<Double> shortLatencies = new ArrayList<>();

		private Map<EndpointId, int[]> report = new HashMap<>();

		private Map<EndpointId, int[]> nextReport = new HashMap<>();

		Replay(boolean slowdownAnnounced) {
			DataCenterName dataCenter = new DataCenterName("a");
			for (int i = 0; i < GATEWAYS; i++) {
				EndpointTable table = new EndpointTable(new FleetAllocation("gateway", () -> List.of("gateway")));
				table.configure(configuration());
				for (int endpoint = 0; endpoint < ENDPOINTS; endpoint++) {
					table.put(new EndpointEntry(new EndpointId("e-" + endpoint), SERVICE, "v1",
							new InetSocketAddress(InetAddress.getLoopbackAddress(), 1), dataCenter, 64, false, false,
							1));
				}
				if (slowdownAnnounced) {
					table.partition(SERVICE).recordSlowdownAnnounced();
				}
				this.tables.add(table);
				this.rules.add(new PlacementRule(dataCenter, this.random::nextDouble));
			}
		}

		private static Configuration configuration() {
			return new Configuration(1, List.of(route("short", SHORT_TARGET), route("long", LONG_TARGET)),
					List.of(new Service(SERVICE, 700, new EngineMemory(600_000, 0.001), null)), List.of(),
					CallerLimits.DEFAULT);
		}

		private static Route route(String name, Duration target) {
			return new Route(name, "host", "/" + name + "/", RouteKind.STREAMING, false, Duration.ofSeconds(15), target,
					Duration.ofMillis(400), 0, List.of(new WeightedService(SERVICE, 1)), 1, false);
		}

		// Returns the 90th percentile of the time to the first event of short prompts.
		double run(int shortPerSecond, int longPerSecond) {
			for (int now = 0; now < MILLIS; now++) {
				complete(now);
				if (now % REPORT_INTERVAL == 0) {
					exchangeReports();
				}
				if (this.random.nextDouble() < shortPerSecond / 1000.0) {
					send(1800, SHORT_PREFILL, SHORT_TARGET, now);
				}
				if (this.random.nextDouble() < longPerSecond / 1000.0) {
					send(LONG_TOKENS, LONG_PREFILL, LONG_TARGET, now);
				}
			}
			this.shortLatencies.sort(null);
			return this.shortLatencies.get(this.shortLatencies.size() * 9 / 10);
		}

		private void send(int tokens, double prefillMillis, Duration target, int now) {
			int gateway = this.random.nextInt(GATEWAYS);
			Prompt prompt = new Prompt(List.of(), tokens, 100);
			long nanos = now * 1_000_000L;
			Placement placement = Objects.requireNonNull(this.rules.get(gateway)
				.choose(this.tables.get(gateway).endpointsOf(SERVICE), prompt, target, Set.of(), nanos));
			Endpoint endpoint = placement.endpoint();
			endpoint.requestSent(prompt, tokens, nanos);
			double doneAt = Math.max(now, this.busyUntil.getOrDefault(endpoint.id(), 0.0)) + prefillMillis;
			this.busyUntil.put(endpoint.id(), doneAt);
			this.completions.add(new Completion(doneAt, endpoint, tokens));
			if (tokens != LONG_TOKENS) {
				this.shortLatencies.add(doneAt - now);
			}
		}

		private void complete(int now) {
			while (!this.completions.isEmpty() && this.completions.element().at() <= now) {
				Completion completion = this.completions.remove();
				completion.endpoint().prefillCompleted(completion.tokens());
				completion.endpoint().requestCompleted();
			}
		}

		private void exchangeReports() {
			this.report = this.nextReport;
			this.nextReport = new HashMap<>();
			for (EndpointTable table : this.tables) {
				for (Endpoint endpoint : table.all()) {
					int[] sum = this.nextReport.computeIfAbsent(endpoint.id(), (id) -> new int[2]);
					sum[0] += endpoint.inFlight();
					sum[1] += (int) endpoint.pendingPrefillTokens();
					int[] known = this.report.getOrDefault(endpoint.id(), new int[2]);
					endpoint.updateRemoteLoad(known[0], known[1]);
				}
			}
		}

		private record Completion(double at, Endpoint endpoint, int tokens) {
		}

	}

}
