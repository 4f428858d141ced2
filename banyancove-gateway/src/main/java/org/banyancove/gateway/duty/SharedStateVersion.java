package org.banyancove.gateway.duty;

import java.time.Duration;

/**
 * The version of the shared state that a gateway has applied; lets other gateways detect
 * whether theirs is stale.
 *
 * @param readsStore whether the gateway reads the store itself and did so recently
 * @param endpointsNextOffset the next offset to read in the endpoints topic
 * @param endpointsDigest a digest of all listed endpoints
 * @param endpointsAge the time since the endpoints were last read from the store
 * @param configurationOffset the offset of the applied configuration, -1 for none
 */
public record SharedStateVersion(boolean readsStore, long endpointsNextOffset, long endpointsDigest,
		Duration endpointsAge, long configurationOffset) {

	/** Age of endpoints that were never read. */
	public static final Duration UNKNOWN_AGE = Duration.ofDays(1);

	/** No shared state. */
	public static final SharedStateVersion NONE = new SharedStateVersion(false, 0, 0, UNKNOWN_AGE, -1);

	/**
	 * Returns whether this gateway has missed changes of endpoints that another one has
	 * applied.
	 * @param other the state of the other gateway
	 * @return {@code true} if the other offset is not lower and the digests differ
	 */
	public boolean endpointsStaleComparedTo(SharedStateVersion other) {
		return other.endpointsNextOffset >= this.endpointsNextOffset && other.endpointsDigest != this.endpointsDigest;
	}

	/**
	 * Returns whether another gateway's newest read confirms the endpoints of this one.
	 * @param other the state of the other gateway
	 * @return {@code true} if the other gateway reads the store and the digests are equal
	 */
	public boolean endpointsConfirmedBy(SharedStateVersion other) {
		return other.readsStore && other.endpointsDigest == this.endpointsDigest;
	}

	/**
	 * Returns whether this state is newer than another.
	 * @param other the other state
	 * @return {@code true} if its offset is higher, or the offsets are equal and its age
	 * is lower
	 */
	boolean isNewerThan(SharedStateVersion other) {
		return (this.endpointsNextOffset != other.endpointsNextOffset)
				? this.endpointsNextOffset > other.endpointsNextOffset
				: this.endpointsAge.compareTo(other.endpointsAge) < 0;
	}

	/**
	 * Returns this state with its age increased.
	 * @param elapsed the time since the state was reported
	 * @return the aged state
	 */
	SharedStateVersion aged(Duration elapsed) {
		return new SharedStateVersion(this.readsStore, this.endpointsNextOffset, this.endpointsDigest,
				this.endpointsAge.plus(elapsed), this.configurationOffset);
	}

}
