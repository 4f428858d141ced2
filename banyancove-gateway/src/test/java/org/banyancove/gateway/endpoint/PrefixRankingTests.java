package org.banyancove.gateway.endpoint;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Predicate;

import org.banyancove.core.DataCenterName;
import org.banyancove.core.EndpointId;
import org.banyancove.core.ServiceName;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PrefixRankingTests {

	private static final int TRIALS = 5000;

	private final SplittableRandom random = new SplittableRandom(5);

	// Guards against a pass over the endpoints that ranks differently from the plain
	// form: gateways of different versions would prefill a prefix at different owners.
	@Test
	void onePassRanksAsSortingDoes() {
		for (int trial = 0; trial < TRIALS; trial++) {
			List<Endpoint> endpoints = endpoints(this.random.nextInt(12));
			Set<Endpoint> sources = Set.copyOf(endpoints.stream().filter((each) -> this.random.nextBoolean()).toList());
			RequestClass requestClass = switch (trial % 3) {
				case 0 -> RequestClass.SHORTEST_TARGET;
				case 1 -> RequestClass.LONGER_TARGET;
				default -> null;
			};
			long key = this.random.nextLong();
			Prompt prompt = new Prompt(List.of(new PromptPart(key, 100), new PromptPart(1, 10)), 110, 10);
			PrefixRanking ranking = PrefixRanking.of(endpoints, prompt, requestClass, sources::contains);
			Endpoint first = highest(endpoints, key, sources::contains);
			Endpoint second = highest(endpoints, key, (each) -> each != first && sources.contains(each));
			assertThat(ranking).isEqualTo(new PrefixRanking(owner(endpoints, key, requestClass), first, second));
			for (Endpoint endpoint : endpoints) {
				assertThat(ranking.sourceFor(endpoint)).isEqualTo((endpoint != first) ? first : second);
			}
		}
	}

	@Test
	void aPromptWithoutSharedPartsHasNoOwner() {
		PrefixRanking ranking = PrefixRanking.of(endpoints(3), Prompt.NONE, null, (endpoint) -> true);
		assertThat(ranking).isEqualTo(new PrefixRanking(null, null, null));
	}

	private static @Nullable Endpoint owner(List<Endpoint> endpoints, long key, @Nullable RequestClass requestClass) {
		Endpoint preferred = (requestClass != null) ? highest(endpoints, key,
				(endpoint) -> !endpoint.draining() && endpoint.partition().preferredBy(endpoint.id()) == requestClass)
				: null;
		return (preferred != null) ? preferred : highest(endpoints, key, (endpoint) -> !endpoint.draining());
	}

	// A stable sort, so that the first one of equal weights is the highest.
	private static @Nullable Endpoint highest(List<Endpoint> endpoints, long key, Predicate<Endpoint> eligible) {
		return endpoints.stream()
			.filter(eligible)
			.sorted(Comparator.comparingLong((Endpoint endpoint) -> RendezvousHash.weight(key, endpoint.id().value()))
				.reversed())
			.findFirst()
			.orElse(null);
	}

	// Some identifiers have the same hash and therefore the same weight.
	private List<Endpoint> endpoints(int count) {
		EndpointPartition partition = new EndpointPartition();
		List<Endpoint> endpoints = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			String name = "e" + (this.random.nextBoolean() ? "Aa" : "BB") + i / 2;
			EndpointEntry entry = new EndpointEntry(new EndpointId(name), new ServiceName("engines"), "v1",
					new InetSocketAddress(InetAddress.getLoopbackAddress(), 1), new DataCenterName("a"), 64,
					this.random.nextInt(4) == 0, false, 1);
			endpoints.add(new Endpoint(entry, null, new PrefillLatency(), new RejectionTolerance(),
					new FleetAllocation("gateway", () -> List.of("gateway")), partition));
		}
		return endpoints;
	}

}
