package org.banyancove.core.routing;

import java.util.random.RandomGenerator;

import org.jspecify.annotations.Nullable;

/**
 * Chooses the less loaded of two random endpoints. Serves as a baseline for comparisons.
 */
final class TwoChoicesPolicy implements PlacementPolicy {

	private final RandomGenerator random;

	TwoChoicesPolicy(RandomGenerator random) {
		this.random = random;
	}

	@Override
	public @Nullable Choice choose(PlacementRequest request, ServiceEndpoints endpoints, double now) {
		Endpoint first = sample(request, endpoints.live(), null);
		if (first == null) {
			return null;
		}
		Endpoint second = sample(request, endpoints.live(), first);
		Endpoint chosen = ((second != null && second.inFlight() < first.inFlight()) ? second : first);
		return new Choice(chosen, endpoints.prefixes().cachedTokens(request.prefixes(), chosen));
	}

	private @Nullable Endpoint sample(PlacementRequest request, EndpointGroup live, @Nullable Endpoint other) {
		if (live.isEmpty()) {
			return null;
		}
		int start = this.random.nextInt(live.size());
		for (int step = 0; step < live.size(); step++) {
			Endpoint endpoint = live.get((start + step) % live.size());
			if (endpoint != other && !request.excluded().contains(endpoint.id())) {
				return endpoint;
			}
		}
		return null;
	}

}
