package org.banyancove.core.routing;

import org.jspecify.annotations.Nullable;

/**
 * Chooses the cheapest endpoint that is predicted to meet the latency targets with a
 * margin, or else the endpoint with the earliest predicted completion.
 * <p>
 * The cost is the price of the machine time used by the request: the uncached part of its
 * prompt, and its share of the batch during generation. An endpoint with a cached prefix
 * of the prompt is therefore chosen if the saved computation outweighs its higher price.
 */
final class CostAtTargetPolicy implements PlacementPolicy {

	private static final double SECONDS_PER_HOUR = 3600;

	private final CandidateSelector selector;

	private final Candidates candidates;

	private final PlacementSettings settings;

	/**
	 * Creates the policy.
	 * @param selector selects the candidates
	 * @param candidates the candidates
	 * @param settings the margin, which lets slightly inaccurate predictions still meet
	 * the target, and the prompt weight
	 */
	CostAtTargetPolicy(CandidateSelector selector, Candidates candidates, PlacementSettings settings) {
		this.selector = selector;
		this.candidates = candidates;
		this.settings = settings;
	}

	@Override
	public @Nullable Choice choose(PlacementRequest request, ServiceEndpoints endpoints, double now) {
		this.candidates.clear(request.excluded());
		this.selector.add(request, endpoints, this.candidates);
		double waitedSeconds = Math.max(0, now - Seconds.of(request.acceptedAt()));
		double firstTokenTarget = Seconds.of(request.profile().firstTokenTarget()) * this.settings.margin()
				- waitedSeconds;
		double tokenTarget = Seconds.of(request.profile().tokenTarget()) * this.settings.margin();
		Minimum lowestCost = new Minimum();
		Minimum earliest = new Minimum();
		for (int i = 0; i < this.candidates.size(); i++) {
			Endpoint endpoint = this.candidates.endpoint(i);
			double uncachedTokens = Math.max(1, request.promptTokens() - this.candidates.cachedTokens(i));
			double firstToken = endpoint.predictFirstToken(uncachedTokens);
			double perToken = endpoint.predictPerToken();
			earliest.consider(i, penalty(endpoint) * (firstToken + request.outputTokens() * perToken));
			if (firstToken <= firstTokenTarget && perToken <= tokenTarget && endpoint.hasFreeSlot()) {
				lowestCost.consider(i, cost(endpoint, uncachedTokens, request.outputTokens(), perToken));
			}
		}
		return choice(lowestCost.isEmpty() ? earliest : lowestCost);
	}

	private @Nullable Choice choice(Minimum minimum) {
		if (minimum.isEmpty()) {
			return null;
		}
		return new Choice(this.candidates.endpoint(minimum.index), this.candidates.cachedTokens(minimum.index));
	}

	private double cost(Endpoint endpoint, double uncachedTokens, int outputTokens, double perToken) {
		double promptSeconds = endpoint.predictPrompt(uncachedTokens);
		double generationSeconds = outputTokens * perToken / (endpoint.inFlight() + 1);
		return endpoint.definition().pricePerHour() / SECONDS_PER_HOUR
				* (this.settings.promptWeight() * promptSeconds + generationSeconds);
	}

	private static double penalty(Endpoint endpoint) {
		// Ranks endpoints over their limit lower. Predictions are based on observations
		// within the limit and are too optimistic beyond it.
		return endpoint.overloadFactor();
	}

	/**
	 * Tracks the candidate with the lowest value.
	 */
	private static final class Minimum {

		private int index = -1;

		private double lowest = Double.POSITIVE_INFINITY;

		void consider(int candidate, double value) {
			if (value < this.lowest) {
				this.lowest = value;
				this.index = candidate;
			}
		}

		boolean isEmpty() {
			return this.index < 0;
		}

	}

}
