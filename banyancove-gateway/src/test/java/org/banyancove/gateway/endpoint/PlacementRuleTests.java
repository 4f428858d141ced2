package org.banyancove.gateway.endpoint;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

import org.banyancove.core.DataCenterName;
import org.banyancove.core.EndpointId;
import org.banyancove.core.ServiceName;
import org.banyancove.gateway.configuration.EngineMemory;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PlacementRuleTests {

	private static final DataCenterName ZONE = new DataCenterName("a");

	private static final ServiceName SERVICE = new ServiceName("engines");

	private long requests;

	private final PlacementRule rule = new PlacementRule(ZONE, () -> 0);

	@Test
	void sendsASessionToOneEndpointFromEveryGateway() {
		for (long session = 1; session < 50; session++) {
			Prompt prompt = prompt(session, 5000);
			EndpointId here = choose(endpoints(6), prompt).id();
			EndpointId there = choose(endpoints(6), prompt).id();
			assertThat(there).isEqualTo(here);
		}
	}

	// Guards against queueing at one endpoint when a single session sends a burst of a
	// third of all traffic: once its owner is full, other endpoints receive the rest.
	@Test
	void aSessionWithMuchOfTheTrafficSpillsOverToOtherEndpoints() {
		List<Endpoint> endpoints = endpoints(6);
		Map<EndpointId, Integer> sent = new HashMap<>();
		for (int i = 0; i < 60; i++) {
			Prompt prompt = prompt(7, 5000);
			Placement placement = place(endpoints, prompt);
			placement.endpoint().requestSent(prompt, placement.prefillTokens(), 0);
			sent.merge(placement.endpoint().id(), 1, Integer::sum);
		}
		assertThat(sent).hasSizeGreaterThanOrEqualTo(3);
		assertThat(sent.values()).allSatisfy((count) -> assertThat(count).isLessThan(25));
	}

	// Guards against a second prefill of a session's long prompt when its owner is busy,
	// which would delay all requests that run at the endpoint chosen instead.
	@Test
	void anotherEndpointCopiesThePromptFromABusyOwner() {
		List<Endpoint> endpoints = endpoints(6);
		Endpoint owner = choose(endpoints, prompt(7, 5000));
		owner.updateRemoteLoad(20, 200_000);
		Placement spilled = place(endpoints, prompt(7, 5000));
		assertThat(spilled.endpoint()).isNotEqualTo(owner);
		assertThat(spilled.prefixSource()).isEqualTo(owner);
		assertThat(spilled.prefillTokens()).isEqualTo(1500);
	}

	// Guards against counting the prefill of a session's long prompt at the first request
	// of each of nine gateways: its owner prefills it once, and several times the engines
	// needed would be ordered.
	@Test
	void theOwnerIsAssumedToHaveThePromptCachedAtTheFirstRequest() {
		assertThat(place(endpoints(6), prompt(7, 5000)).prefillTokens()).isEqualTo(1500);
	}

	// Guards against losing cached prompts on reclaim: the sessions of an endpoint whose
	// VM is reclaimed in two seconds move to their next owners, which copy from it while
	// it still runs.
	@Test
	void theNextOwnerCopiesFromADrainingEndpoint() {
		List<Endpoint> endpoints = endpoints(6);
		Endpoint owner = choose(endpoints, prompt(7, 5000));
		EndpointEntry entry = owner.entry();
		owner.update(new EndpointEntry(entry.id(), entry.service(), entry.version(), entry.address(),
				entry.dataCenter(), entry.slots(), true, true, entry.startedAt()));
		Placement next = place(endpoints, prompt(7, 5000));
		assertThat(next.endpoint()).isNotEqualTo(owner);
		assertThat(next.prefixSource()).isEqualTo(owner);
	}

	// Guards against copying from an owner that became unreachable: a request that waits
	// for such a copy is late.
	@Test
	void noPrefixIsCopiedFromAFailingEndpoint() {
		List<Endpoint> endpoints = endpoints(6);
		Endpoint owner = choose(endpoints, prompt(7, 5000));
		owner.requestFailed(0, 0);
		owner.requestFailed(1, 1);
		assertThat(place(endpoints, prompt(7, 5000)).prefixSource()).isNotEqualTo(owner);
	}

	@Test
	void aPromptWithoutLongSharedPartsIsNotCopied() {
		List<Endpoint> endpoints = endpoints(6);
		Prompt brief = new Prompt(List.of(new PromptPart(1, 100), new PromptPart(2, 1500)), 1600, 400);
		assertThat(place(endpoints, brief).prefixSource()).isNull();
	}

	@Test
	void theLoadOfOtherGatewaysIsConsidered() {
		List<Endpoint> endpoints = endpoints(2);
		endpoints.getFirst().updateRemoteLoad(10, 60_000);
		assertThat(choose(endpoints, prompt(0, 0))).isEqualTo(endpoints.getLast());
	}

	// Guards against endpoints that stay unused for seconds because many requests were
	// lost at one moment, when a gateway's connections were reset.
	@Test
	void requestsThatWereLostTogetherCountAsOneFailure() {
		List<Endpoint> endpoints = endpoints(1);
		long lostAt = Duration.ofMillis(100).toNanos();
		for (int i = 0; i < 8; i++) {
			endpoints.getFirst().requestFailed(i, lostAt + i);
		}
		assertThat(this.rule.choose(endpoints, prompt(0, 0), Set.of(), lostAt + 8)).isNotNull();
		for (int i = 0; i < 8; i++) {
			endpoints.getFirst().unreachable(lostAt + 10 + i, 2 * lostAt + i);
		}
		long backoffEnd = 2 * lostAt + Duration.ofMillis(501).toNanos();
		assertThat(this.rule.choose(endpoints, prompt(0, 0), Set.of(), 2 * lostAt + 8)).isNull();
		assertThat(this.rule.choose(endpoints, prompt(0, 0), Set.of(), backoffEnd)).isNotNull();
	}

	@Test
	void aFailingEndpointIsAvoidedAndAnUnresponsiveOneIsBackedOff() {
		List<Endpoint> endpoints = endpoints(2);
		endpoints.getFirst().requestAnswered(false, 0);
		assertThat(choose(endpoints, prompt(0, 0))).isEqualTo(endpoints.getLast());
		endpoints.getLast().requestFailed(0, 0);
		endpoints.getLast().requestFailed(1, 1);
		assertThat(choose(endpoints, prompt(0, 0))).isEqualTo(endpoints.getFirst());
		assertThat(this.rule.choose(endpoints, prompt(0, 0), Set.of(endpoints.getFirst().id()), 0)).isNull();
		long later = Duration.ofSeconds(1).toNanos();
		assertThat(this.rule.choose(endpoints, prompt(0, 0), Set.of(endpoints.getFirst().id()), later)).isNotNull();
	}

	@Test
	void anUnreachableDataCenterIsUsedOnlyAsALastResort() {
		List<Endpoint> endpoints = endpoints(1);
		EndpointEntry near = endpoints.getFirst().entry();
		endpoints.add(new Endpoint(
				new EndpointEntry(new EndpointId("far"), SERVICE, "v1", near.address(), new DataCenterName("far"), 64,
						false, false, 1),
				new EngineMemory(600_000, 0.0005), new PrefillLatency(), new RejectionTolerance(),
				new FleetAllocation("gateway", () -> List.of("gateway")), new EndpointPartition()));
		endpoints.getFirst().updateRemoteLoad(5, 40_000);
		assertThat(choose(endpoints, prompt(0, 0))).isEqualTo(endpoints.getLast());
		this.rule.setUnreachableDataCenters(Set.of(new DataCenterName("far")));
		assertThat(choose(endpoints, prompt(0, 0))).isEqualTo(endpoints.getFirst());
		assertThat(choose(endpoints.subList(1, 2), prompt(0, 0))).isEqualTo(endpoints.getLast());
	}

	// Guards against avoiding recovered engines permanently: without requests nothing
	// shows that they recovered from failures of a few seconds, and the queues of the
	// others grow.
	@Test
	void anEndpointIsTriedAgainSecondsAfterItsFailures() {
		List<Endpoint> endpoints = endpoints(2);
		for (int i = 0; i < 6; i++) {
			endpoints.getFirst().requestAnswered(false, 0);
		}
		endpoints.getLast().updateRemoteLoad(10, 10_000);
		assertThat(choose(endpoints, prompt(0, 0))).isEqualTo(endpoints.getLast());
		long later = Duration.ofSeconds(10).toNanos();
		assertThat(Objects.requireNonNull(this.rule.choose(endpoints, prompt(0, 0), Set.of(), later)).endpoint())
			.isEqualTo(endpoints.getFirst());
	}

	@Test
	void aSlowEndpointIsAvoided() {
		List<Endpoint> endpoints = endpoints(2);
		for (int i = 0; i < 20; i++) {
			endpoints.getFirst().latency().recordTimeToFirstToken(Duration.ofMillis(600), 10_000, 0);
			endpoints.getLast().latency().recordTimeToFirstToken(Duration.ofMillis(200), 10_000, 0);
		}
		assertThat(choose(endpoints, prompt(0, 0))).isEqualTo(endpoints.getLast());
	}

	@Test
	void aRestartedEndpointHasAnEmptyCache() {
		Endpoint endpoint = endpoints(1).getFirst();
		Prompt prompt = prompt(3, 5000);
		endpoint.requestSent(prompt, prompt.inputTokens(), 0);
		assertThat(endpoint.uncachedTokens(prompt)).isZero();
		EndpointEntry entry = endpoint.entry();
		endpoint.update(new EndpointEntry(entry.id(), entry.service(), entry.version(), entry.address(),
				entry.dataCenter(), entry.slots(), false, false, 99));
		assertThat(endpoint.uncachedTokens(prompt)).isEqualTo(prompt.inputTokens());
	}

	private Endpoint choose(List<Endpoint> endpoints, Prompt prompt) {
		return place(endpoints, prompt).endpoint();
	}

	private Placement place(List<Endpoint> endpoints, Prompt prompt) {
		return Objects.requireNonNull(this.rule.choose(endpoints, prompt, Set.of(), 0));
	}

	// The last part is unique to the request.
	private Prompt prompt(long session, int sharedTokens) {
		this.requests++;
		return new Prompt(List.of(new PromptPart(1, 500), new PromptPart(100 + session, sharedTokens),
				new PromptPart(1000 + this.requests, 1500)), 2000 + sharedTokens, 400);
	}

	private static List<Endpoint> endpoints(int count) {
		List<Endpoint> endpoints = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			EndpointEntry entry = new EndpointEntry(new EndpointId("e" + i), SERVICE, "v1",
					new InetSocketAddress(InetAddress.getLoopbackAddress(), 1), ZONE, 64, false, false, 1);
			endpoints.add(new Endpoint(entry, new EngineMemory(600_000, 0.0005), new PrefillLatency(),
					new RejectionTolerance(), new FleetAllocation("gateway", () -> List.of("gateway")),
					new EndpointPartition()));
		}
		return endpoints;
	}

}
