package org.banyancove.core.routing;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Random;
import java.util.Set;

import org.banyancove.core.EndpointId;
import org.banyancove.core.VmId;
import org.banyancove.core.error.ErrorKind;
import org.banyancove.core.profile.PlacementPolicyName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

class PlacementSystemTests {

	private Instant now = RoutingFixtures.START;

	private final EndpointTable table = new EndpointTable();

	private final PlacementSystem system = new PlacementSystem(this.table, (InstantSource) () -> this.now,
			new Random(1));

	// Guards against placing a request on an endpoint whose VM has a reclaim notice:
	// after the notice, an older list still contains the VM as live. The list lags, so
	// the notice prevails. Without an endpoint, the request is refused with a retry delay
	// that grows with the duration of the outage.
	@ParameterizedTest
	@EnumSource(PlacementPolicyName.class)
	void noticePrevailsOverOlderList(PlacementPolicyName policy) {
		this.table.put(RoutingFixtures.definition("a", 1), this.now);
		this.table.put(RoutingFixtures.definition("b", 2), this.now);
		this.table.markLeaving(new VmId("vm-a"), this.now.plusSeconds(30), this.now);
		this.table.put(RoutingFixtures.definition("a", 1), this.now.minusSeconds(5));
		assertThat(placed("1", policy, Set.of())).isEqualTo("b");
		this.table.markLeaving(new VmId("vm-b"), this.now.plusSeconds(30), this.now);
		this.table.remove(new EndpointId("b"), this.now);
		this.table.put(RoutingFixtures.definition("b", 2), this.now.plusSeconds(5));
		this.now = this.now.plusSeconds(4);
		assertThat(this.system.place(RoutingFixtures.request("2", policy, List.of(), Set.of(), this.now)))
			.isEqualTo(new PlacementDecision.Refused(ErrorKind.NO_ENDPOINT, Duration.ofSeconds(4)));
	}

	@ParameterizedTest
	@EnumSource(PlacementPolicyName.class)
	void excludedAndGoneEndpointsAreNotChosen(PlacementPolicyName policy) {
		for (String name : List.of("a", "b", "c")) {
			this.table.put(RoutingFixtures.definition(name, 1), this.now);
		}
		this.table.markGone(new EndpointId("a"), this.now);
		for (int i = 0; i < 20; i++) {
			assertThat(placed("r" + i, policy, Set.of(new EndpointId("b")))).isEqualTo("c");
		}
	}

	@Test
	void lostEndpointIsLiveAgainWithListAfterBackoff() {
		this.table.put(RoutingFixtures.definition("a", 1), this.now);
		this.table.markGone(new EndpointId("a"), this.now);
		this.table.put(RoutingFixtures.definition("a", 1), this.now.plusMillis(900));
		assertThat(this.table.liveCount(RoutingFixtures.SERVICE)).isZero();
		this.table.put(RoutingFixtures.definition("a", 1), this.now.plusMillis(1000));
		assertThat(this.table.liveCount(RoutingFixtures.SERVICE)).isEqualTo(1);
		assertThat(this.table.find(new EndpointId("a")).orElseThrow().concurrencyLimit()).isEqualTo(1);
	}

	// Guards against reviving a lost endpoint of a VM with a reclaim notice: the process
	// is lost after the notice, and a later list still contains the VM as live. Work
	// placed there would be interrupted again. Reproduced by DecisionRun with seed 323.
	@Test
	void endpointLostAfterNoticeStaysGone() {
		this.table.put(RoutingFixtures.definition("a", 1), this.now);
		this.table.markLeaving(new VmId("vm-a"), this.now.plusSeconds(30), this.now);
		this.table.markGone(new EndpointId("a"), this.now);
		this.table.put(RoutingFixtures.definition("a", 1), this.now.plusSeconds(10));
		assertThat(this.table.liveCount(RoutingFixtures.SERVICE)).isZero();
	}

	@Test
	void cheapestEndpointIsChosenWhileItMeetsTheTarget() {
		this.table.put(RoutingFixtures.definition("cheap", 1), this.now);
		this.table.put(RoutingFixtures.definition("dear", 8), this.now);
		for (int i = 0; i < 20; i++) {
			serve("cheap", "c" + i, 100);
			serve("dear", "d" + i, 20);
		}
		assertThat(placed("1", PlacementPolicyName.COST_AT_TARGET, Set.of())).isEqualTo("cheap");
		LoadReport busy = new LoadReport(this.now, 4, 4, 100, 0, 0);
		this.table.loadReported(new EndpointId("cheap"), busy);
		assertThat(placed("2", PlacementPolicyName.COST_AT_TARGET, Set.of())).isEqualTo("dear");
	}

	@Test
	void prefixHolderIsPreferredUntilItsProcessRestarts() {
		PromptPrefix prefix = new PromptPrefix(7, 192);
		this.table.put(RoutingFixtures.definition("a", 1), this.now);
		this.table.put(RoutingFixtures.definition("b", 1), this.now);
		for (int i = 0; i < 20; i++) {
			serve("a", "a" + i, 100);
			serve("b", "b" + i, 100);
		}
		this.table.cacheChanged(new EndpointId("b"), new CacheChange(1, CacheChange.Kind.STORED, prefix));
		PlacementDecision.Placed cached = place("1", PlacementPolicyName.COST_AT_TARGET, List.of(prefix), Set.of());
		assertThat(cached.endpoint().value()).isEqualTo("b");
		assertThat(cached.uncachedTokens()).isEqualTo(8);
		CacheChange afterGap = new CacheChange(5, CacheChange.Kind.STORED, new PromptPrefix(8, 64));
		this.table.cacheChanged(new EndpointId("b"), afterGap);
		CacheChange late = new CacheChange(3, CacheChange.Kind.EVICTED, prefix);
		this.table.cacheChanged(new EndpointId("b"), late);
		assertThat(this.table.find(new EndpointId("b")).orElseThrow().cacheEventGaps()).isEqualTo(1);
		PlacementDecision.Placed unchanged = place("2", PlacementPolicyName.COST_AT_TARGET, List.of(prefix), Set.of());
		assertThat(unchanged).isEqualTo(cached);
		this.table.markGone(new EndpointId("b"), this.now);
		this.table.put(RoutingFixtures.definition("b", 1), this.now.plusSeconds(1));
		PlacementDecision.Placed afterRestart = place("3", PlacementPolicyName.COST_AT_TARGET, List.of(prefix),
				Set.of());
		assertThat(afterRestart.uncachedTokens()).isEqualTo(200);
	}

	private String placed(String name, PlacementPolicyName policy, Set<EndpointId> excluded) {
		return place(name, policy, List.of(), excluded).endpoint().value();
	}

	private PlacementDecision.Placed place(String name, PlacementPolicyName policy, List<PromptPrefix> prefixes,
			Set<EndpointId> excluded) {
		return (PlacementDecision.Placed) this.system
			.place(RoutingFixtures.request(name, policy, prefixes, excluded, this.now));
	}

	private void serve(String endpoint, String name, long millis) {
		EndpointId id = new EndpointId(endpoint);
		PlacementRequest request = RoutingFixtures.request(name, PlacementPolicyName.COST_AT_TARGET, List.of(),
				Set.of(), this.now);
		this.table.attemptStarted(new PlacementDecision.Placed(id, Duration.ZERO, Duration.ZERO, 200), request,
				this.now);
		this.now = this.now.plusMillis(millis);
		this.table.firstTokenReceived(id, request.request(), this.now);
		this.now = this.now.plusMillis(millis);
		this.table.tokensReceived(id, request.request(), 50, this.now);
		this.table.attemptEnded(id, request.request(), AttemptOutcome.COMPLETED, this.now);
	}

}
