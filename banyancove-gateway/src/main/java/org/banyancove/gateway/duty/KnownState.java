package org.banyancove.gateway.duty;

import java.time.Duration;

/**
 * How far a gateway knows shared state, by which others see whether they know as much.
 *
 * @param reads whether it reads the store itself, and did so of late
 * @param endpointsNext up to where it knows the endpoints' topic
 * @param endpointsDigest a sum over all endpoints that are listed, as it knows them
 * @param endpointsAge since the store was last asked for what it knows of endpoints
 * @param configurationOffset the place of the configuration that it has applied, -1 for
 * none
 */
public record KnownState(boolean reads, long endpointsNext, long endpointsDigest, Duration endpointsAge,
		long configurationOffset) {

	/** The age of endpoints that were never read. */
	public static final Duration UNKNOWN_AGE = Duration.ofDays(1);

	/** Nothing. */
	public static final KnownState NONE = new KnownState(false, 0, 0, UNKNOWN_AGE, -1);

	/**
	 * Returns whether another gateway knows of endpoints what this one has missed.
	 * @param other what the other one knows
	 * @return whether the other one is at least as far and knows something else
	 */
	public boolean missesEndpointsOf(KnownState other) {
		return other.endpointsNext >= this.endpointsNext && other.endpointsDigest != this.endpointsDigest;
	}

	/**
	 * Returns whether another gateway's newest read confirms what this one knows of
	 * endpoints.
	 * @param other what the other one knows
	 * @return whether the other one reads the store and knows the same endpoints
	 */
	public boolean confirmedBy(KnownState other) {
		return other.reads && other.endpointsDigest == this.endpointsDigest;
	}

	/**
	 * Returns whether this state is more recent than another.
	 * @param other the other state
	 * @return whether it is further in the topic, or as far and younger
	 */
	boolean newerThan(KnownState other) {
		return (this.endpointsNext != other.endpointsNext) ? this.endpointsNext > other.endpointsNext
				: this.endpointsAge.compareTo(other.endpointsAge) < 0;
	}

	/**
	 * Returns the same state after some time.
	 * @param elapsed the time since it was reported
	 * @return the state, older by that time
	 */
	KnownState after(Duration elapsed) {
		return new KnownState(this.reads, this.endpointsNext, this.endpointsDigest, this.endpointsAge.plus(elapsed),
				this.configurationOffset);
	}

}
