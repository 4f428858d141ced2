package org.banyancove.gateway.daemon;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that a gateway which gets most of the callers' new connections for a while serves
 * its requests.
 */
class CrowdedGatewayTests {

	private static final int ENDPOINTS = 6;

	private static final Duration RESPONSE_TIME = Duration.ofMillis(150);

	private static final Duration ADAPTATION_TIME = Duration.ofMillis(1500);

	private static final Duration MEASURED_TIME = Duration.ofSeconds(4);

	private static final double CROWD_SHARE = 0.9;

	/** The processor serves 100 requests in a second. */
	private static final Duration REQUEST_COST = Duration.ofMillis(10);

	// Guards against requests that fail because the gateway uses only its share of what
	// the endpoints accept, although the other gateways leave theirs unused.
	@ParameterizedTest
	@CsvSource({ "9, 40, 40", "90, 250, 400" })
	void gatewayWithMostNewConnectionsServesAsOftenAsBefore(int gateways, int intervalMillis, int maximumConnections)
			throws Exception {
		try (GatewayFleet fleet = new GatewayFleet(gateways, ENDPOINTS, RESPONSE_TIME, maximumConnections,
				Duration.ZERO); FleetCallers callers = new FleetCallers(fleet, Duration.ofMillis(intervalMillis))) {
			callers.awaitServed(fleet);
			// The gateways list each other, and idle connections of the start are closed.
			TimeUnit.SECONDS.sleep(4);
			fleet.endpoints().forEach(StubEndpoint::countOpenConnections);
			GatewayFleet.Node crowded = fleet.nodes().getFirst();
			double before = FleetCallers.servedShare(callers.sentWithin(MEASURED_TIME), (each) -> true);
			callers.crowd(crowded, CROWD_SHARE);
			TimeUnit.NANOSECONDS.sleep(ADAPTATION_TIME.toNanos());
			List<FleetCallers.FirstTry> tries = callers.sentWithin(MEASURED_TIME);
			assertThat(FleetCallers.servedShare(tries, (each) -> each.node() == crowded))
				.as("served at the crowded gateway, %.3f before, of %d", before, tries.size())
				.isGreaterThan(before * 3 / 4);
			assertThat(FleetCallers.servedShare(tries, (each) -> each.node() != crowded)).as("served by the others")
				.isGreaterThan(before * 3 / 4);
			assertThat(before).as("served before").isGreaterThan(0.98);
			assertThat(fleet.endpoints()).as("connections to an endpoint")
				.allMatch((endpoint) -> endpoint.mostOpenConnections() <= maximumConnections);
		}
	}

	// Guards against requests that wait until their callers have given up, since the
	// gateway reads more of them than its processor can serve.
	@ParameterizedTest
	@CsvSource({ "9, 40", "90, 250" })
	void gatewayWithoutProcessorTimeReadsOnlyRequestsThatItServes(int gateways, int intervalMillis) throws Exception {
		try (GatewayFleet fleet = new GatewayFleet(gateways, ENDPOINTS, RESPONSE_TIME, 1000, REQUEST_COST);
				FleetCallers callers = new FleetCallers(fleet, Duration.ofMillis(intervalMillis))) {
			callers.awaitServed(fleet);
			GatewayFleet.Node crowded = fleet.nodes().getFirst();
			List<FleetCallers.FirstTry> triesBefore = callers.sentWithin(MEASURED_TIME);
			double before = FleetCallers.servedShare(triesBefore, (each) -> true);
			callers.crowd(crowded, CROWD_SHARE);
			TimeUnit.NANOSECONDS.sleep(ADAPTATION_TIME.toNanos());
			List<FleetCallers.FirstTry> tries = callers.sentWithin(MEASURED_TIME);
			Predicate<FleetCallers.FirstTry> readByCrowded = (each) -> each.node() == crowded && !each.closed();
			assertThat(FleetCallers.servedShare(tries, readByCrowded))
				.as("served of those that the crowded gateway read, %.3f before, of %d", before, tries.size())
				.isGreaterThan(before * 3 / 4);
			assertThat(servedBy(crowded, tries))
				.as("served by the crowded gateway, %d before", servedBy(crowded, triesBefore))
				.isGreaterThanOrEqualTo(servedBy(crowded, triesBefore));
			assertThat(tries.stream().filter(FleetCallers.FirstTry::closed)).as("closed without a response, but run")
				.noneMatch((each) -> fleet.runs().containsKey(each.id()));
			assertThat(before).as("served before").isGreaterThan(0.98);
		}
	}

	private static long servedBy(GatewayFleet.Node node, List<FleetCallers.FirstTry> tries) {
		return tries.stream().filter((each) -> each.node() == node && each.served()).count();
	}

}
