package org.banyancove.gateway.duty;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.banyancove.core.AccountName;
import org.banyancove.core.DataCenterName;
import org.banyancove.core.EndpointId;
import org.banyancove.core.ServiceName;
import org.banyancove.gateway.endpoint.ObservedSlowdown;
import org.banyancove.gateway.rollout.RolloutReport;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PeerTableTests {

	private static final AccountName ACCOUNT = new AccountName("account");

	private static final EndpointId ENDPOINT = new EndpointId("endpoint");

	private static final ServiceName SERVICE = new ServiceName("service");

	private static final DataCenterName NEAR = new DataCenterName("near");

	private static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(600);

	private static final long SECOND = Duration.ofSeconds(1).toNanos();

	private final PeerTable peerTable = new PeerTable(9, NEAR);

	@Test
	void returnsQuotaUsedSincePreviousReport() {
		assertThat(this.peerTable.receive(report(1000), 0)).isEmpty();
		assertThat(this.peerTable.receive(report(1400), SECOND / 4)).containsEntry(ACCOUNT, 400.0);
	}

	// Guards against an account that is rejected at all gateways after a network
	// partition, because the usage accepted on the other side is charged in full.
	@Test
	void usageDuringPartitionIsNotChargedInFull() {
		this.peerTable.receive(report(0), 0);
		double charged = this.peerTable.receive(report(60_000), 6 * SECOND).getOrDefault(ACCOUNT, 0.0);
		assertThat(charged).as("usage accepted before it became unreachable").isBetween(10_000.0, 20_000.0);
	}

	// Guards against requests that exceed their deadlines at endpoints of an
	// unreachable data centre.
	@Test
	void dataCenterWithoutRespondingGatewayIsUnreachable() {
		this.peerTable.receive(report(1, "near"), 0);
		this.peerTable.receive(report(2, "far"), 0);
		this.peerTable.receive(report(3, "far"), 0);
		this.peerTable.receive(report(4, "third"), 0);
		this.peerTable.receive(report(3, "far"), SECOND);
		assertThat(unreachableDataCenters(SECOND)).extracting(DataCenterName::value).containsExactly("third");
		assertThat(unreachableDataCenters(2 * SECOND)).extracting(DataCenterName::value)
			.containsExactlyInAnyOrder("far", "third");
		this.peerTable.receive(report(4, "third"), 2 * SECOND);
		assertThat(unreachableDataCenters(2 * SECOND)).extracting(DataCenterName::value).containsExactly("far");
	}

	// Guards against missed changes when one of the three gateways that read the store
	// on behalf of the fleet fails.
	@Test
	void otherGatewaysReadWhenTooFewReadersRespond() {
		for (long incarnation = 1; incarnation <= 3; incarnation++) {
			this.peerTable.receive(reading(incarnation), 0);
		}
		assertThat(this.peerTable.view(0).delegatesReading(9)).isTrue();
		assertThat(this.peerTable.view(0).delegatesReading(2)).isFalse();
		this.peerTable.receive(reading(1), SECOND);
		this.peerTable.receive(reading(2), SECOND);
		assertThat(this.peerTable.view(SECOND).delegatesReading(9)).isFalse();
	}

	// Guards against relying on a gateway that cannot reach the store.
	@Test
	void gatewayThatDoesNotReadStoreIsNotCountedAsReader() {
		this.peerTable.receive(reading(1), 0);
		this.peerTable.receive(reading(2), 0);
		this.peerTable.receive(report(3, "near"), 0);
		assertThat(this.peerTable.view(0).delegatesReading(9)).isFalse();
	}

	@Test
	void aggregatorAddsUpItsGroupAndOtherGroups() {
		this.peerTable.receive(loaded(1, 2), 0);
		this.peerTable.receive(loaded(2, 3), 0);
		this.peerTable.receive(summary(5, "far", 10), 0);
		FleetView view = this.peerTable.view(0);
		assertThat(view.otherGateways()).isEqualTo(12);
		assertThat(view.loads().get(ENDPOINT)).isEqualTo(new EndpointLoad(15, 1500));
		assertThat(view.demand()).containsEntry(SERVICE, 150.0);
		assertThat(this.peerTable.groupSummary("near", 0).gateways()).isEqualTo(3);
		assertThat(this.peerTable.fleetSummary(0).gateways()).isEqualTo(13);
	}

	// Guards against loads that are counted twice when two aggregators report the same
	// group.
	@Test
	void onlyOneOfTwoSummariesOfGroupIsCounted() {
		this.peerTable.receive(summary(5, "far", 10), 0);
		this.peerTable.receive(summary(6, "far", 9), 0);
		assertThat(this.peerTable.view(0).otherGateways()).isEqualTo(10);
		this.peerTable.receive(summary(6, "far", 9), SECOND);
		assertThat(this.peerTable.view(SECOND).otherGateways()).as("other aggregator failed").isEqualTo(9);
	}

	// Guards against a gateway that counts its own requests as load of the others.
	@Test
	void nonAggregatorSubtractsItselfFromFleet() {
		this.peerTable.configure(false, Set.of("near", "far"), RESPONSE_TIMEOUT);
		this.peerTable.setOwnReport(loaded(9, 2));
		this.peerTable.receive(fleet(5, 12), 0);
		FleetView view = this.peerTable.view(0);
		assertThat(view.otherGateways()).isEqualTo(11);
		assertThat(view.loads().get(ENDPOINT)).isEqualTo(new EndpointLoad(10, 1000));
		assertThat(view.demand()).containsEntry(SERVICE, 100.0);
	}

	// Guards against a slowdown that is replaced by an older one of another gateway, or
	// loses its age on the way over an aggregator.
	@Test
	void theNewestSlowdownOfAnEndpointIsPassedOnWithItsAge() {
		this.peerTable.receive(slowed(1, 2.5, 400), 0);
		this.peerTable.receive(slowed(2, 1.1, 250), SECOND / 10);
		ObservedSlowdown expected = new ObservedSlowdown(1.1, Duration.ofMillis(350), 7);
		assertThat(this.peerTable.view(SECOND / 5).slowdowns()).containsEntry(ENDPOINT, expected);
		assertThat(this.peerTable.groupSummary("near", SECOND / 5).traffic().slowdowns()).containsEntry(ENDPOINT,
				expected);
	}

	private static GatewayReport slowed(long incarnation, double slowdown, long ageMillis) {
		TrafficTotals traffic = new TrafficTotals(Map.of(), Map.of(), Map.of(), Map.of(), RolloutReport.NONE, Map.of(),
				Map.of(ENDPOINT, new ObservedSlowdown(slowdown, Duration.ofMillis(ageMillis), 7)));
		return new GatewayReport(incarnation, NEAR, traffic, false, SharedStateVersion.NONE);
	}

	// Guards against a lease holder that mistakes itself for another gateway and polls
	// the leases topic too rarely to renew the lease.
	@Test
	void ownLeaseIsNotReportedAsHeldElsewhere() {
		this.peerTable.configure(false, Set.of("near"), RESPONSE_TIMEOUT);
		this.peerTable.receive(
				new FleetSummary(5, null, List.of(), TrafficTotals.NONE, 9, SharedStateVersion.NONE, List.of()), 0);
		assertThat(this.peerTable.view(0).leaseHeldElsewhere()).isFalse();
		this.peerTable.receive(
				new FleetSummary(5, null, List.of(), TrafficTotals.NONE, 7, SharedStateVersion.NONE, List.of()), 0);
		assertThat(this.peerTable.view(0).leaseHeldElsewhere()).isTrue();
	}

	// Guards against a gateway that continues to use the loads and readers of a fleet
	// that it can no longer reach.
	@Test
	void expiredSummaryProvidesOnlyFleetSize() {
		this.peerTable.configure(false, Set.of("near"), RESPONSE_TIMEOUT);
		this.peerTable.receive(fleet(5, 12), 0);
		FleetView view = this.peerTable.view(2 * SECOND);
		assertThat(view.otherGateways()).isEqualTo(11);
		assertThat(view.reachableShare()).isEqualTo(1.0 / 12);
		assertThat(view.loads()).isEmpty();
		assertThat(view.readers()).isEmpty();
	}

	// Guards against gateways that are counted twice when the fleet outgrows the direct
	// exchange: once in groups named after the gateways and once in the group of their
	// data centre.
	@Test
	void removedGroupsAreNotCounted() {
		this.peerTable.receive(summary(5, "far-1", 1), 0);
		this.peerTable.configure(true, Set.of("near", "far"), RESPONSE_TIMEOUT);
		this.peerTable.receive(summary(5, "far", 10), 0);
		assertThat(this.peerTable.view(0).otherGateways()).isEqualTo(10);
	}

	private Set<DataCenterName> unreachableDataCenters(long now) {
		return this.peerTable.view(now).unreachableDataCenters();
	}

	private static GatewayReport reading(long incarnation) {
		return new GatewayReport(incarnation, NEAR, TrafficTotals.NONE, false,
				new SharedStateVersion(true, 5, 5, Duration.ZERO, 5));
	}

	private static GatewayReport report(long incarnation, String dataCenter) {
		return new GatewayReport(incarnation, new DataCenterName(dataCenter), TrafficTotals.NONE, false,
				SharedStateVersion.NONE);
	}

	private static GatewayReport report(double used) {
		TrafficTotals traffic = new TrafficTotals(Map.of(), Map.of(ACCOUNT, used), Map.of(), Map.of(),
				RolloutReport.NONE, Map.of(), Map.of());
		return new GatewayReport(7, new DataCenterName("zone"), traffic, false, SharedStateVersion.NONE);
	}

	private static GatewayReport loaded(long incarnation, int requests) {
		return new GatewayReport(incarnation, NEAR, loads(requests), false, SharedStateVersion.NONE);
	}

	private static FleetSummary summary(long incarnation, String group, int gateways) {
		return new FleetSummary(incarnation, group,
				List.of(new DataCenterPresence(new DataCenterName("far"), gateways, gateways, true)), loads(gateways),
				0, SharedStateVersion.NONE, List.of());
	}

	private static FleetSummary fleet(long incarnation, int gateways) {
		return new FleetSummary(incarnation, null, List.of(new DataCenterPresence(NEAR, gateways, gateways, true)),
				loads(gateways), 0, new SharedStateVersion(true, 5, 5, Duration.ZERO, 5), List.of(1L, 2L, 3L));
	}

	private static TrafficTotals loads(int requests) {
		return new TrafficTotals(Map.of(), Map.of(), Map.of(SERVICE, 10.0 * requests),
				Map.of(ENDPOINT, new EndpointLoad(requests, 100L * requests)), RolloutReport.NONE, Map.of(), Map.of());
	}

}
