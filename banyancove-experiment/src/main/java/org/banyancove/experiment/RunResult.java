package org.banyancove.experiment;

/**
 * The results of one run.
 *
 * @param user the user model
 * @param scenario the scenario
 * @param policy the placement policy
 * @param entries the number of entries
 * @param seed the seed
 * @param limits whether admission limits apply
 * @param offered the model requests that callers sent
 * @param metShare the share of them answered completely and within the targets
 * @param lateShare the share whose first token exceeded its target
 * @param slowShare the share whose tokens exceeded their target
 * @param goodputPerSecond the requests per second answered within the targets
 * @param busyCostPerThousandMet the price of the engines' busy time per 1,000 requests
 * that met the targets
 * @param fleetCostPerThousandMet the price of all engines over the run per 1,000 requests
 * that met the targets
 * @param recomputedTokens the prompt and answer tokens computed more than once
 * @param firstTokenMillisP50 the median time to the first token
 * @param firstTokenMillisP99 the 99th percentile of the time to the first token
 * @param refusedShare the share of the requests refused
 * @param refusedShareOfSmall the share of the small accounts' requests refused
 * @param refusedMedianMillis the median time until a request was refused
 * @param failed the admitted requests without a complete answer
 * @param retriesPerRequest the retries per admitted request
 * @param moved the attempts moved away from leaving endpoints
 * @param ordersMetShare the share of the orders answered within their target
 */
record RunResult(String user, String scenario, String policy, int entries, long seed, boolean limits, int offered,
		double metShare, double lateShare, double slowShare, double goodputPerSecond, double busyCostPerThousandMet,
		double fleetCostPerThousandMet, long recomputedTokens, double firstTokenMillisP50, double firstTokenMillisP99,
		double refusedShare, double refusedShareOfSmall, double refusedMedianMillis, int failed,
		double retriesPerRequest, int moved, double ordersMetShare) {
}
