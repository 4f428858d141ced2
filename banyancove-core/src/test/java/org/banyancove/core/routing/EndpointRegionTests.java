package org.banyancove.core.routing;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

import org.banyancove.core.DataCenterName;
import org.banyancove.core.EndpointId;
import org.banyancove.core.MachineClass;
import org.banyancove.core.VmId;
import org.banyancove.core.ZoneName;
import org.banyancove.core.profile.PlacementPolicyName;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EndpointRegionTests {

	private static final DataCenterName OWN_DATA_CENTER = new DataCenterName("mahebourg");

	private Instant now = RoutingFixtures.START;

	private final EndpointTable table = new EndpointTable(
			EndpointRegion.of(OWN_DATA_CENTER, Set.of(new DataCenterName("trou-deau"))), 5);

	// When the region's last endpoint of a service is reclaimed, the next list adds some
	// remote endpoints, so that callers are still served. Once the region has an endpoint
	// again, remote endpoints with running attempts are kept until the attempts end and
	// the others are removed.
	@Test
	void remoteEndpointsAreUsedOnlyWhileTheRegionHasNone() {
		List<EndpointDefinition> list = new ArrayList<>(remoteEndpoints(200));
		list.add(definition("near", "trou-deau"));
		this.table.applyList(list, this.now);
		assertThat(this.table.all()).extracting((endpoint) -> endpoint.id().value()).containsExactly("near");
		this.table.markLeaving(new VmId("vm-near"), this.now.plusSeconds(30), this.now);
		this.table.applyList(list, this.now);
		assertThat(this.table.liveCount(RoutingFixtures.SERVICE)).isEqualTo(EndpointTable.MAXIMUM_REMOTE_ENDPOINTS);
		EndpointId used = place("1");
		List<EndpointDefinition> updatedList = new ArrayList<>(list);
		updatedList.add(definition("new", "mahebourg"));
		this.table.applyList(updatedList, this.now);
		assertThat(this.table.byService(RoutingFixtures.SERVICE)).extracting((endpoint) -> endpoint.id().value())
			.containsExactlyInAnyOrder("new", used.value());
		this.table.attemptEnded(used,
				RoutingFixtures.request("1", PlacementPolicyName.COST_AT_TARGET, List.of(), Set.of(), this.now)
					.request(),
				AttemptOutcome.COMPLETED, this.now);
		this.table.applyList(updatedList, this.now);
		assertThat(this.table.liveCount(RoutingFixtures.SERVICE)).isEqualTo(1);
	}

	@Test
	void entriesSelectDifferentRemoteEndpoints() {
		EndpointTable other = new EndpointTable(
				EndpointRegion.of(OWN_DATA_CENTER, Set.of(new DataCenterName("trou-deau"))), 6);
		this.table.applyList(remoteEndpoints(2000), this.now);
		other.applyList(remoteEndpoints(2000), this.now);
		Set<EndpointId> common = new HashSet<>(this.table.all().stream().map(Endpoint::id).toList());
		common.retainAll(other.all().stream().map(Endpoint::id).toList());
		assertThat(common).hasSizeLessThan(EndpointTable.MAXIMUM_REMOTE_ENDPOINTS / 2);
	}

	// Guards against an engine that appears full forever: its load reports stop while
	// peers still report the requests that they send to it. The end of those requests is
	// never reported, so counting them permanently would block all admission.
	@Test
	void requestsSentByPeersExpireWithoutLoadReports() {
		this.table.applyList(List.of(definition("near", "mahebourg")), this.now);
		this.table.loadReported(new EndpointId("near"), new LoadReport(this.now, 0, 0, 0, 0, 0));
		for (int second = 0; second < 300; second++) {
			this.now = this.now.plusSeconds(1);
			this.table.peerSent(new EndpointId("near"), 1, this.now);
		}
		assertThat(this.table.find(new EndpointId("near")).orElseThrow().inFlight()).isEqualTo(10);
		this.now = this.now.plusSeconds(20);
		this.table.applyList(List.of(definition("near", "mahebourg")), this.now);
		assertThat(this.table.find(new EndpointId("near")).orElseThrow().inFlight()).isZero();
		assertThat(this.table.freeCapacity(RoutingFixtures.SERVICE)).isEqualTo(ConcurrencyLimit.INITIAL_LIMIT);
	}

	private EndpointId place(String name) {
		PlacementSystem system = new PlacementSystem(this.table, () -> this.now, new Random(1));
		PlacementRequest request = RoutingFixtures.request(name, PlacementPolicyName.COST_AT_TARGET, List.of(),
				Set.of(), this.now);
		PlacementDecision.Placed placed = (PlacementDecision.Placed) system.place(request);
		this.table.attemptStarted(placed, request, this.now);
		return placed.endpoint();
	}

	private static List<EndpointDefinition> remoteEndpoints(int count) {
		List<EndpointDefinition> definitions = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			definitions.add(definition("far-" + i, "poste-lafayette"));
		}
		return definitions;
	}

	private static EndpointDefinition definition(String name, String dataCenter) {
		return new EndpointDefinition(new EndpointId(name), new VmId("vm-" + name), new DataCenterName(dataCenter),
				new ZoneName(dataCenter + "-a"), new MachineClass("medium"), RoutingFixtures.SERVICE, "127.0.0.1:1", 1);
	}

}
