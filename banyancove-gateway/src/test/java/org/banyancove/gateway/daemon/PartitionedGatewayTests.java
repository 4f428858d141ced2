package org.banyancove.gateway.daemon;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that gateways which are partitioned from all endpoints serve their callers as
 * long as another gateway reaches the endpoints.
 */
class PartitionedGatewayTests {

	/** Time after which gateways must have adapted to a partition. */
	private static final Duration ADAPTATION_TIME = Duration.ofSeconds(2);

	private static final Duration MEASURED_TIME = Duration.ofMillis(1500);

	/** Time after a partition within which requests are served again. */
	private static final Duration RECOVERY_TIME = Duration.ofSeconds(4);

	private static final int ENDPOINTS = 6;

	// Guards against gateways that fail every request because only their own connections
	// to endpoints are cut.
	@ParameterizedTest
	@CsvSource({ "9, HANG, ONE", "9, HANG, ZONE", "9, HANG, MOST", "9, RESET, ONE", "9, RESET, ZONE", "9, RESET, MOST",
			"9, REFUSE_NEW, ONE", "9, REFUSE_NEW, MOST", "90, HANG, ONE", "90, HANG, ZONE", "90, RESET, ZONE",
			"90, REFUSE_NEW, MOST" })
	void partitionedGatewaysServeAsOftenAsTheOthers(int gateways, Partition.Kind kind, Extent extent) throws Exception {
		try (GatewayFleet fleet = new GatewayFleet(gateways, ENDPOINTS, Duration.ofMillis(10));
				FleetCallers callers = new FleetCallers(fleet, callInterval(gateways))) {
			callers.awaitServed(fleet);
			TimeUnit.SECONDS.sleep(1);
			Set<GatewayFleet.Node> cut = cut(fleet, extent);
			cut.forEach((node) -> node.partition().begin(kind));
			TimeUnit.NANOSECONDS.sleep(ADAPTATION_TIME.toNanos());
			List<FleetCallers.FirstTry> tries = callers.sentWithin(MEASURED_TIME);
			assertServedAlike(tries, (each) -> cut.contains(each.node()));
			assertRunAtMostOnce(fleet, tries);
		}
	}

	// Guards against requests that are lost because they depend on a peer that freezes,
	// is
	// killed and started again, or is partitioned a moment later.
	@ParameterizedTest
	@CsvSource({ "9, HANG, 1", "9, RESET, 2", "90, HANG, 3" })
	void partitionedGatewaysServeWhilePeersFail(int gateways, Partition.Kind kind, long seed) throws Exception {
		try (GatewayFleet fleet = new GatewayFleet(gateways, ENDPOINTS, Duration.ofMillis(10));
				FleetCallers callers = new FleetCallers(fleet, callInterval(gateways))) {
			callers.awaitServed(fleet);
			Set<GatewayFleet.Node> cut = new HashSet<>(cut(fleet, Extent.ZONE));
			cut.forEach((node) -> node.partition().begin(kind));
			List<GatewayFleet.Node> peers = new ArrayList<>(fleet.nodes());
			peers.removeAll(cut);
			Collections.shuffle(peers, new Random(seed));
			Thread failures = Thread.ofVirtual().start(() -> failInTurn(peers.subList(0, peers.size() / 2), kind));
			TimeUnit.NANOSECONDS.sleep(ADAPTATION_TIME.toNanos());
			List<FleetCallers.FirstTry> tries = callers.sentWithin(Duration.ofSeconds(2));
			failures.interrupt();
			failures.join();
			assertThat(FleetCallers.servedShare(tries, (each) -> cut.contains(each.node())))
				.as("served at partitioned gateways")
				.isGreaterThan(2.0 / 3);
			assertRunAtMostOnce(fleet, tries);
		}
	}

	private static void failInTurn(List<GatewayFleet.Node> peers, Partition.Kind kind) {
		try {
			for (int i = 0; !Thread.interrupted(); i++) {
				GatewayFleet.Node peer = peers.get(i % peers.size());
				switch (i % 3) {
					case 0 -> peer.freeze(Duration.ofMillis(800));
					case 1 -> peer.restart();
					default -> peer.partition().begin(kind);
				}
				TimeUnit.MILLISECONDS.sleep(300);
				if (i % 3 == 2) {
					peer.partition().end();
				}
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	// Guards against requests of other gateways that are lost when the gateway that their
	// tunnels lead through shuts down.
	@Test
	void tunnelsOutliveTheShutdownOfThePeerThatTheyLeadThrough() throws Exception {
		try (GatewayFleet fleet = new GatewayFleet(9, ENDPOINTS, Duration.ofMillis(200))) {
			GatewayFleet.Node stopped = fleet.nodes().getLast();
			try (FleetCallers callers = new FleetCallers(fleet, callInterval(9))) {
				callers.awaitServed(fleet);
				Set<GatewayFleet.Node> cut = cut(fleet, Extent.MOST);
				cut.forEach((node) -> node.partition().begin(Partition.Kind.HANG));
				TimeUnit.NANOSECONDS.sleep(ADAPTATION_TIME.toNanos());
				Thread shutdown = Thread.ofVirtual().start(() -> stop(stopped));
				List<FleetCallers.FirstTry> tries = callers.sentWithin(Duration.ofSeconds(8));
				shutdown.join();
				assertThat(tries.stream()
					.filter((each) -> cut.contains(each.node()))
					.filter((each) -> !each.served() && !each.rejected())).as("lost at partitioned gateways")
					.hasSizeLessThan(3);
				assertRunAtMostOnce(fleet, tries);
			}
		}
	}

	private static void stop(GatewayFleet.Node node) {
		try {
			node.stop();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	// Guards against requests that are held although no gateway reaches any endpoint, and
	// against callers that are not served soon after a partition has ended.
	@ParameterizedTest
	@CsvSource({ "9, HANG", "9, RESET", "9, REFUSE_NEW" })
	void requestsThatNoGatewayCanServeAreRejectedAtOnce(int gateways, Partition.Kind kind) throws Exception {
		assertRejectedAtOnce(gateways, kind);
	}

	// Guards against the same in a fleet of many gateways with few requests each.
	@ParameterizedTest
	@CsvSource({ "90, HANG" })
	void requestsThatNoGatewayOfALargeFleetCanServeAreRejectedAtOnce(int gateways, Partition.Kind kind)
			throws Exception {
		assertRejectedAtOnce(gateways, kind);
	}

	private static void assertRejectedAtOnce(int gateways, Partition.Kind kind) throws Exception {
		try (GatewayFleet fleet = new GatewayFleet(gateways, ENDPOINTS, Duration.ofMillis(10));
				FleetCallers callers = new FleetCallers(fleet, callInterval(gateways))) {
			callers.awaitServed(fleet);
			fleet.nodes().forEach((node) -> node.partition().begin(kind));
			TimeUnit.NANOSECONDS.sleep(ADAPTATION_TIME.toNanos());
			List<FleetCallers.FirstTry> tries = callers.sentWithin(MEASURED_TIME);
			List<FleetCallers.FirstTry> held = tries.stream()
				.filter((each) -> !each.rejected() || each.late())
				.toList();
			assertThat(held.size()).as("not rejected within the latency target, of %d", tries.size())
				.isLessThan(tries.size() / 10);
			assertRunAtMostOnce(fleet, tries);
			fleet.nodes().forEach((node) -> node.partition().end());
			TimeUnit.NANOSECONDS.sleep(RECOVERY_TIME.toNanos());
			assertThat(FleetCallers.servedShare(callers.sentWithin(MEASURED_TIME), (each) -> true))
				.as("served after the partition")
				.isGreaterThan(0.98);
		}
	}

	private static Duration callInterval(int gateways) {
		return Duration.ofMillis((gateways < 20) ? 40 : 250);
	}

	private static void assertServedAlike(List<FleetCallers.FirstTry> tries,
			Predicate<FleetCallers.FirstTry> partitioned) {
		double there = FleetCallers.servedShare(tries, partitioned);
		double elsewhere = FleetCallers.servedShare(tries, partitioned.negate());
		assertThat(elsewhere).as("served by the others").isGreaterThan(0.98);
		assertThat(tries.stream().filter(partitioned.negate()).filter(FleetCallers.FirstTry::late).count())
			.as("late at the others")
			.isLessThan(tries.size() / 50);
		assertThat(there).as("served at partitioned gateways, the others served %.3f of %d", elsewhere, tries.size())
			.isGreaterThan(elsewhere * 2 / 3);
	}

	private static void assertRunAtMostOnce(GatewayFleet fleet, List<FleetCallers.FirstTry> tries) {
		Map<String, Integer> repeated = tries.stream()
			.filter((each) -> !each.path().contains("/again/"))
			.filter((each) -> fleet.runs().getOrDefault(each.id(), 0) > 1)
			.collect(Collectors.toMap(FleetCallers.FirstTry::id, (each) -> fleet.runs().get(each.id())));
		assertThat(repeated).as("non-repeatable requests that ran more than once").isEmpty();
		assertThat(tries).as("rejected as not run, but ran")
			.noneMatch((each) -> each.rejected() && fleet.runs().containsKey(each.id()));
	}

	private static Set<GatewayFleet.Node> cut(GatewayFleet fleet, Extent extent) {
		int size = fleet.nodes().size();
		return fleet.nodes().stream().filter((node) -> switch (extent) {
			case ONE -> node == fleet.nodes().getFirst();
			case ZONE -> node.dataCenter() == 0;
			case MOST -> fleet.nodes().indexOf(node) < size * 2 / 3;
			case ALL -> true;
		}).collect(Collectors.toSet());
	}

	/**
	 * Which gateways are partitioned.
	 */
	enum Extent {

		ONE, ZONE, MOST, ALL

	}

}
