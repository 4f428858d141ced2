package org.banyancove.core.routing;

import org.jspecify.annotations.Nullable;

/**
 * Chooses the endpoint with the fewest requests in flight among a sample. Serves as a
 * baseline for comparisons.
 */
final class LeastInFlightPolicy implements PlacementPolicy {

	private final CandidateSelector selector;

	private final Candidates candidates;

	LeastInFlightPolicy(CandidateSelector selector, Candidates candidates) {
		this.selector = selector;
		this.candidates = candidates;
	}

	@Override
	public @Nullable Choice choose(PlacementRequest request, ServiceEndpoints endpoints, double now) {
		this.candidates.clear(request.excluded());
		this.selector.addGlobal(endpoints.live(), this.candidates);
		Endpoint least = null;
		for (int i = 0; i < this.candidates.size(); i++) {
			Endpoint endpoint = this.candidates.endpoint(i);
			if (least == null || endpoint.inFlight() < least.inFlight()) {
				least = endpoint;
			}
		}
		if (least == null) {
			return null;
		}
		return new Choice(least, endpoints.prefixes().cachedTokens(request.prefixes(), least));
	}

}
