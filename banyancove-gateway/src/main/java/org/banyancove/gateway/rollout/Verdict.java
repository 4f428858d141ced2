package org.banyancove.gateway.rollout;

/**
 * The verdict of the canary analysis on a candidate.
 */
public sealed interface Verdict {

	/**
	 * The samples are not sufficient for a decision.
	 *
	 * @param likelihoodRatio the logarithm of the likelihood ratio of the samples,
	 * positive if they are more likely for an unhealthy candidate
	 */
	record Undecided(double likelihoodRatio) implements Verdict {
	}

	/** The candidate is not worse than the baseline. */
	record Healthy() implements Verdict {
	}

	/**
	 * The candidate is worse than the baseline.
	 *
	 * @param route the affected route, or {@code "*"} for all routes together
	 * @param candidate the samples of the candidate on that route
	 * @param baseline the samples of the baseline on that route
	 */
	record Unhealthy(String route, VersionSamples candidate, VersionSamples baseline) implements Verdict {
	}

}
