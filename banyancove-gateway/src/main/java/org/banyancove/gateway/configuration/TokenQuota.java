package org.banyancove.gateway.configuration;

/**
 * The quota of a client account over all gateways together, as a token bucket.
 *
 * @param countsTokens whether the quota counts tokens; otherwise it counts requests
 * @param ratePerSecond the refill rate per second
 * @param burst the capacity of the bucket
 * @param defaultTokens the cost of a request that does not state its tokens
 */
public record TokenQuota(boolean countsTokens, double ratePerSecond, double burst, long defaultTokens) {

	/**
	 * Creates the quota.
	 * @throws IllegalArgumentException if {@code ratePerSecond} is not positive
	 */
	public TokenQuota {
		if (!(ratePerSecond > 0)) {
			throw new IllegalArgumentException("ratePerSecond must be positive: " + ratePerSecond);
		}
	}

	/**
	 * Returns the cost of a request.
	 * @param tokens its prompt and output tokens, or 0 if it states none
	 * @return the cost, in this quota's unit
	 */
	public double costOf(long tokens) {
		if (!this.countsTokens) {
			return 1;
		}
		return (tokens > 0) ? tokens : this.defaultTokens;
	}

}
