package org.banyancove.gateway.duty;

/**
 * What one gateway has at an endpoint.
 *
 * @param inFlight its requests there
 * @param pendingPrefillTokens the prompt tokens of theirs that are still to be read
 */
public record EndpointLoad(int inFlight, long pendingPrefillTokens) {

	/** Nothing. */
	public static final EndpointLoad NONE = new EndpointLoad(0, 0);

	/**
	 * Creates the load.
	 * @throws IllegalArgumentException if a figure is negative
	 */
	public EndpointLoad {
		if (inFlight < 0 || pendingPrefillTokens < 0) {
			throw new IllegalArgumentException("inFlight and pendingPrefillTokens must not be negative: " + inFlight
					+ ", " + pendingPrefillTokens);
		}
	}

	/**
	 * Adds another load.
	 * @param other the other load
	 * @return the sum
	 */
	public EndpointLoad plus(EndpointLoad other) {
		return new EndpointLoad(this.inFlight + other.inFlight, this.pendingPrefillTokens + other.pendingPrefillTokens);
	}

	/**
	 * Subtracts a part of this load.
	 * @param part the part, which may have been reported at another moment
	 * @return what is left, never negative
	 */
	public EndpointLoad minus(EndpointLoad part) {
		return new EndpointLoad(Math.max(0, this.inFlight - part.inFlight),
				Math.max(0, this.pendingPrefillTokens - part.pendingPrefillTokens));
	}

}
