package org.banyancove.gateway.configuration;

/**
 * What a client account may use, over all gateways together.
 *
 * @param countsTokens whether the figures count tokens; requests otherwise
 * @param ratePerSecond what is earned a second
 * @param burst the most that is saved up
 * @param tokensWithoutUsage what a request counts that does not state its tokens
 */
public record TokenQuota(boolean countsTokens, double ratePerSecond, double burst, long tokensWithoutUsage) {

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
	 * Returns what a request counts.
	 * @param tokens its tokens in and out, or 0 if it states none
	 * @return the cost, in this quota's unit
	 */
	public double costOf(long tokens) {
		if (!this.countsTokens) {
			return 1;
		}
		return (tokens > 0) ? tokens : this.tokensWithoutUsage;
	}

}
