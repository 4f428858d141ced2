package org.banyancove.gateway.duty;

/**
 * How far a gateway knows shared state, by which others see whether they know as much.
 *
 * @param reads whether it reads the store itself, and did so of late
 * @param endpointsNext up to where it knows the endpoints' topic
 * @param endpointsDigest a sum over all endpoints that are listed, as it knows them
 * @param configurationOffset the place of the configuration that it has taken, -1 for
 * none
 */
public record KnownState(boolean reads, long endpointsNext, long endpointsDigest, long configurationOffset) {

	/** Nothing. */
	public static final KnownState NONE = new KnownState(false, 0, 0, -1);

	/**
	 * Returns whether another gateway knows of endpoints what this one has missed.
	 * @param other what the other one knows
	 * @return whether the other one is at least as far and knows something else
	 */
	public boolean missesEndpointsOf(KnownState other) {
		return other.endpointsNext >= this.endpointsNext && other.endpointsDigest != this.endpointsDigest;
	}

}
