package org.banyancove.gateway.rollout;

/**
 * Limits of the requests that a candidate may receive before its rollout is completed.
 *
 * @param share the fraction of the service's requests between an order and its deadline
 * @param slack the number of requests permitted beyond that fraction
 */
public record ExposureLimits(double share, double slack) {

	/** Default limits if the platform configures none. */
	public static final ExposureLimits DEFAULT = new ExposureLimits(0.1, 0);

	/**
	 * Creates limits.
	 * @throws IllegalArgumentException if {@code share} is not from 0 to 1, or
	 * {@code slack} is negative
	 */
	public ExposureLimits {
		if (!(share >= 0 && share <= 1)) {
			throw new IllegalArgumentException("share must be from 0 to 1: " + share);
		}
		if (!(slack >= 0)) {
			throw new IllegalArgumentException("slack must not be negative: " + slack);
		}
	}

}
