package org.banyancove.gateway.duty;

/**
 * The load of one gateway at an endpoint.
 *
 * @param inFlight the number of requests in flight
 * @param pendingPrefillTokens the number of their prompt tokens still to be prefilled
 */
public record EndpointLoad(int inFlight, long pendingPrefillTokens) {

	/** No load. */
	public static final EndpointLoad NONE = new EndpointLoad(0, 0);

	/**
	 * Creates a load.
	 * @throws IllegalArgumentException if {@code inFlight} or
	 * {@code pendingPrefillTokens} is negative
	 */
	public EndpointLoad {
		if (inFlight < 0 || pendingPrefillTokens < 0) {
			throw new IllegalArgumentException("inFlight and pendingPrefillTokens must not be negative: " + inFlight
					+ ", " + pendingPrefillTokens);
		}
	}

	/**
	 * Adds another load.
	 * @param other the load to add
	 * @return the sum
	 */
	public EndpointLoad plus(EndpointLoad other) {
		return new EndpointLoad(this.inFlight + other.inFlight, this.pendingPrefillTokens + other.pendingPrefillTokens);
	}

	/**
	 * Subtracts a part of this load.
	 * @param part the part, which may have been reported at a different time
	 * @return the remaining load, never negative
	 */
	public EndpointLoad minus(EndpointLoad part) {
		return new EndpointLoad(Math.max(0, this.inFlight - part.inFlight),
				Math.max(0, this.pendingPrefillTokens - part.pendingPrefillTokens));
	}

}
