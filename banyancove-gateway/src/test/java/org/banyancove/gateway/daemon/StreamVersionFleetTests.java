package org.banyancove.gateway.daemon;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that streams whose endpoints or gateways fail go on, and only at the software
 * version that began them.
 */
class StreamVersionFleetTests {

	private static final Logger log = LoggerFactory.getLogger(StreamVersionFleetTests.class);

	private static final int ENDPOINTS_PER_VERSION = 3;

	/** Streams that may mix versions before a rule is broken. */
	private static final int MAXIMUM_MIXED = 2;

	/** Streams that must be taken up for their share to count. */
	private static final int MINIMUM_TAKEN_UP = 12;

	/** Time in which all gateways know and use all endpoints. */
	private static final Duration START_TIME = Duration.ofSeconds(5);

	private static final Duration MEASURED_TIME = Duration.ofSeconds(6);

	// Guards against streams that go on at another version after their endpoint crashed,
	// within one answer or at the gateway that their callers return to.
	@ParameterizedTest
	@CsvSource({ "9, 2, 1", "9, 3, 2", "90, 2, 3", "90, 3, 4" })
	void streamsOfCrashedEndpointsGoOnAtTheirVersion(int gateways, int versions, long seed) throws Exception {
		play(gateways, versions, seed, Disruption.ENDPOINT_CRASHES);
	}

	// Guards against streams that are lost, or go on at another version, because the
	// gateway that began them was killed.
	@ParameterizedTest
	@CsvSource({ "9, 2, 5", "9, 3, 6", "90, 3, 7" })
	void streamsOfKilledGatewaysGoOnAtTheirVersion(int gateways, int versions, long seed) throws Exception {
		play(gateways, versions, seed, Disruption.GATEWAYS_KILLED);
	}

	// Guards against streams that are lost, or go on at another version, because gateways
	// are cut off from all endpoints and reach them through others.
	@ParameterizedTest
	@CsvSource({ "9, 2, 14", "9, 3, 15", "90, 3, 16" })
	void streamsOfGatewaysThatAreCutOffGoOnAtTheirVersion(int gateways, int versions, long seed) throws Exception {
		play(gateways, versions, seed, Disruption.GATEWAYS_CUT);
	}

	// Guards against streams that mix versions because an endpoint starts again under its
	// identifier and at its address as another version.
	@ParameterizedTest
	@CsvSource({ "9, 2, 8", "9, 3, 9", "90, 3, 10" })
	void streamsOfEndpointsThatReturnAsAnotherVersionStayWhole(int gateways, int versions, long seed) throws Exception {
		play(gateways, versions, seed, Disruption.ENDPOINTS_RETURN_AS_ANOTHER_VERSION);
	}

	// Guards against streams that mix versions while endpoints drain, crash and change
	// their version and gateways are killed at the same time.
	@ParameterizedTest
	@CsvSource({ "9, 2, 11", "9, 3, 12", "90, 3, 13" })
	void streamsStayWholeWhileEverythingFails(int gateways, int versions, long seed) throws Exception {
		play(gateways, versions, seed, Disruption.ALL);
	}

	private static void play(int gateways, int versions, long seed, Disruption disruption) throws Exception {
		List<VersionedEndpoint> endpoints = new ArrayList<>();
		try (GatewayFleet fleet = new GatewayFleet(gateways, 0, Duration.ZERO)) {
			for (int i = 0; i < versions * ENDPOINTS_PER_VERSION; i++) {
				endpoints.add(new VersionedEndpoint("v" + (1 + i % versions)));
				list(fleet, endpoints, i, false);
			}
			TimeUnit.NANOSECONDS.sleep(START_TIME.toNanos());
			try (ResumingCallers callers = new ResumingCallers(fleet, Duration.ofMillis(8), seed)) {
				TimeUnit.MILLISECONDS.sleep(500);
				Disruptions disruptions = new Disruptions(fleet, endpoints, versions, new Random(seed));
				long end = System.nanoTime() + MEASURED_TIME.toNanos();
				while (System.nanoTime() < end) {
					disruptions.apply(disruption);
				}
				assertStreamsWhole(callers.end(), callers.refusals());
			}
		}
		finally {
			for (VersionedEndpoint endpoint : endpoints) {
				endpoint.close();
			}
		}
	}

	private static void list(GatewayFleet fleet, List<VersionedEndpoint> endpoints, int number, boolean draining) {
		VersionedEndpoint endpoint = endpoints.get(number);
		fleet.list(number, endpoint.address(), endpoint.version(), endpoint.startedAt(), draining);
	}

	private static void assertStreamsWhole(List<ResumingCallers.Stream> streams, Map<String, Integer> refusals) {
		int takenUp = streams.stream().mapToInt(ResumingCallers.Stream::takenUp).sum();
		int wentOn = streams.stream().mapToInt(ResumingCallers.Stream::wentOn).sum();
		double begun = streams.stream().mapToInt((stream) -> stream.began() ? 1 : 0).average().orElse(0);
		String measured = "%d streams, %.3f begun, %d taken up, %d went on, refused %s".formatted(streams.size(), begun,
				takenUp, wentOn, refusals);
		log.info(measured);
		assertThat(streams).as("mixed within one answer").noneMatch(ResumingCallers.Stream::mixedWithinOneAnswer);
		assertThat(streams.stream().filter(ResumingCallers.Stream::mixed)).as("mixed, of " + measured)
			.hasSizeLessThanOrEqualTo(MAXIMUM_MIXED);
		assertThat(streams).as("missing or repeated events").noneMatch(ResumingCallers.Stream::outOfOrder);
		assertThat(begun).as("begun, of " + measured).isGreaterThan(0.5);
		if (takenUp >= MINIMUM_TAKEN_UP) {
			assertThat((double) wentOn / takenUp).as("went on, of " + measured).isGreaterThanOrEqualTo(begun / 2);
		}
	}

	/**
	 * What happens to a fleet.
	 */
	enum Disruption {

		ENDPOINT_CRASHES, GATEWAYS_KILLED, GATEWAYS_CUT, ENDPOINTS_RETURN_AS_ANOTHER_VERSION, ALL

	}

	/**
	 * Disrupts a fleet and its endpoints, one after the other.
	 */
	private static final class Disruptions {

		private final GatewayFleet fleet;

		private final List<VersionedEndpoint> endpoints;

		private final int versions;

		private final Random random;

		private int count;

		Disruptions(GatewayFleet fleet, List<VersionedEndpoint> endpoints, int versions, Random random) {
			this.fleet = fleet;
			this.endpoints = endpoints;
			this.versions = versions;
			this.random = random;
		}

		void apply(Disruption disruption) throws IOException, InterruptedException {
			this.count++;
			switch (disruption) {
				case ENDPOINT_CRASHES -> restartEndpoint(false);
				case GATEWAYS_KILLED -> restartGateways();
				case GATEWAYS_CUT -> cutGateways();
				case ENDPOINTS_RETURN_AS_ANOTHER_VERSION -> restartEndpoint(true);
				case ALL -> {
					switch (this.count % 4) {
						case 0 -> restartGateways();
						case 1 -> drainEndpoint();
						case 2 -> restartEndpoint(true);
						default -> restartEndpoint(false);
					}
				}
			}
		}

		private void restartEndpoint(boolean asAnotherVersion) throws IOException, InterruptedException {
			int number = this.random.nextInt(this.endpoints.size());
			VersionedEndpoint endpoint = this.endpoints.get(number);
			String version = asAnotherVersion ? nextVersion(endpoint.version()) : endpoint.version();
			endpoint.crash(this.count % 2 == 0);
			TimeUnit.MILLISECONDS.sleep(150 + this.random.nextInt(200));
			endpoint.start(version);
			list(this.fleet, this.endpoints, number, false);
			TimeUnit.MILLISECONDS.sleep(250);
		}

		// Keeps two endpoints of each version at least.
		private String nextVersion(String version) {
			long left = this.endpoints.stream().filter((endpoint) -> endpoint.version().equals(version)).count();
			int number = Integer.parseInt(version.substring(1));
			return (left > 2) ? "v" + (1 + number % this.versions) : version;
		}

		private void drainEndpoint() throws InterruptedException {
			int number = this.random.nextInt(this.endpoints.size());
			list(this.fleet, this.endpoints, number, true);
			TimeUnit.MILLISECONDS.sleep(600);
			this.fleet.unlist(number);
			TimeUnit.MILLISECONDS.sleep(200);
			list(this.fleet, this.endpoints, number, false);
		}

		private void cutGateways() throws InterruptedException {
			List<GatewayFleet.Node> cut = nextGateways(this.fleet.nodes().size() / 3);
			Partition.Kind kind = (this.count % 2 == 0) ? Partition.Kind.RESET : Partition.Kind.HANG;
			cut.forEach((node) -> node.partition().begin(kind));
			TimeUnit.MILLISECONDS.sleep(600);
			cut.forEach((node) -> node.partition().end());
			TimeUnit.MILLISECONDS.sleep(400);
		}

		private void restartGateways() throws IOException, InterruptedException {
			for (GatewayFleet.Node node : nextGateways(this.fleet.nodes().size() / 9)) {
				node.restart();
			}
			TimeUnit.MILLISECONDS.sleep(300);
		}

		private List<GatewayFleet.Node> nextGateways(int number) {
			int first = this.random.nextInt(this.fleet.nodes().size());
			return IntStream.range(first, first + number)
				.mapToObj((index) -> this.fleet.nodes().get(index % this.fleet.nodes().size()))
				.toList();
		}

	}

}
