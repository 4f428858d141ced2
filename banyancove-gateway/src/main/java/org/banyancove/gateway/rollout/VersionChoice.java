package org.banyancove.gateway.rollout;

/**
 * The versions of a service that may serve a request.
 */
public sealed interface VersionChoice {

	/** All trusted versions, if the service has no rollout. */
	record Trusted() implements VersionChoice {
	}

	/**
	 * All trusted versions except the candidate.
	 *
	 * @param candidate the excluded candidate
	 */
	record Baseline(String candidate) implements VersionChoice {
	}

	/**
	 * The candidate.
	 *
	 * @param candidate the candidate
	 * @param endpointShare the fraction of its endpoints that serve requests. The
	 * requests of a canary go to few endpoints, so that each carries the load it will
	 * have after the rollout: some faults occur only under load
	 */
	record Candidate(String candidate, double endpointShare) implements VersionChoice {
	}

}
