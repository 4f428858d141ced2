package org.banyancove.gateway.rollout;

import java.util.Map;

/**
 * Compares a candidate with the baseline over the same time by a sequential probability
 * ratio test (Wald) of its rate of bad answers, for each route and for all routes.
 * <p>
 * The baseline's rate is the null hypothesis, so a fault that affects both versions, such
 * as an unreachable data centre or an endpoint that corrupts its answers, is not
 * attributed to the candidate. Routes are tested separately, since a fault of a single
 * route is diluted in the total.
 */
public final class CanaryAnalysis {

	/** Route name of the verdict on all routes together. */
	private static final String ALL_ROUTES = "*";

	/** Minimum excess of an unhealthy version's rate over the baseline's rate. */
	private static final double MINIMUM_RATE_EXCESS = 0.06;

	/** Minimum ratio of an unhealthy version's rate to the baseline's rate. */
	private static final double MINIMUM_RATE_FACTOR = 2;

	/** Prior rate of bad answers of the baseline. */
	private static final double PRIOR_RATE = 0.01;

	/** Number of samples by which the prior rate is weighted. */
	private static final double PRIOR_SAMPLES = 50;

	private static final double MAXIMUM_RATE = 0.95;

	/** Probability that a healthy version is classified as unhealthy. */
	private static final double FALSE_POSITIVE_PROBABILITY = 0.001;

	/** Probability that an unhealthy version is classified as healthy. */
	private static final double FALSE_NEGATIVE_PROBABILITY = 0.01;

	private static final double REJECTION_THRESHOLD = Math
		.log((1 - FALSE_NEGATIVE_PROBABILITY) / FALSE_POSITIVE_PROBABILITY);

	private static final double ACCEPTANCE_THRESHOLD = Math
		.log(FALSE_NEGATIVE_PROBABILITY / (1 - FALSE_POSITIVE_PROBABILITY));

	/**
	 * Minimum number of bad answers for a rejection, so that a single failing endpoint or
	 * caller is not sufficient.
	 */
	private static final int MINIMUM_BAD_ANSWERS = 3;

	/**
	 * Returns the verdict on a candidate.
	 * @param candidate the samples of the candidate, by route
	 * @param baseline the samples of the baseline, by route
	 * @return the verdict
	 */
	public Verdict evaluate(Map<String, VersionSamples> candidate, Map<String, VersionSamples> baseline) {
		for (Map.Entry<String, VersionSamples> route : candidate.entrySet()) {
			VersionSamples baselineOfRoute = baseline.getOrDefault(route.getKey(), VersionSamples.NONE);
			if (rejects(route.getValue(), baselineOfRoute)) {
				return new Verdict.Unhealthy(route.getKey(), route.getValue(), baselineOfRoute);
			}
		}
		VersionSamples candidateTotal = VersionSamples.sum(candidate.values());
		VersionSamples baselineTotal = VersionSamples.sum(baseline.values());
		if (rejects(candidateTotal, baselineTotal)) {
			return new Verdict.Unhealthy(ALL_ROUTES, candidateTotal, baselineTotal);
		}
		double logRatio = logLikelihoodRatio(candidateTotal, baselineTotal);
		return (logRatio <= ACCEPTANCE_THRESHOLD) ? new Verdict.Healthy() : new Verdict.Undecided(logRatio);
	}

	private static boolean rejects(VersionSamples candidate, VersionSamples baseline) {
		return candidate.bad() >= MINIMUM_BAD_ANSWERS && logLikelihoodRatio(candidate, baseline) >= REJECTION_THRESHOLD;
	}

	private static double logLikelihoodRatio(VersionSamples candidate, VersionSamples baseline) {
		double baselineRate = (baseline.bad() + PRIOR_RATE * PRIOR_SAMPLES) / (baseline.answered() + PRIOR_SAMPLES);
		double healthyRate = Math.min(baselineRate, MAXIMUM_RATE / MINIMUM_RATE_FACTOR);
		double unhealthyRate = Math.min(MAXIMUM_RATE,
				Math.max(healthyRate + MINIMUM_RATE_EXCESS, healthyRate * MINIMUM_RATE_FACTOR));
		long goodAnswers = Math.max(0, candidate.answered() - candidate.bad());
		return candidate.bad() * Math.log(unhealthyRate / healthyRate)
				+ goodAnswers * Math.log((1 - unhealthyRate) / (1 - healthyRate));
	}

}
