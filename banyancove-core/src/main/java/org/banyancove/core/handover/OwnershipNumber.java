package org.banyancove.core.handover;

import org.banyancove.core.Incarnation;
import org.banyancove.core.membership.Rendezvous;

/**
 * Ownership numbers, which order the owners of a request. A later owner has a higher
 * number.
 * <p>
 * During a network partition, two processes may succeed the same owner independently. The
 * low bits are therefore derived from the new owner, so that their numbers differ and the
 * process with the lower number gives up the request after the partition heals.
 */
public final class OwnershipNumber {

	/** The number of the first owner. */
	public static final long FIRST = 1L << 16;

	private static final long OWNER_MASK = (1L << 16) - 1;

	private OwnershipNumber() {
	}

	/**
	 * Returns a number that is higher than the given one.
	 * @param number the current number
	 * @param owner the new owner
	 * @return the higher number
	 */
	public static long after(long number, Incarnation owner) {
		long count = (number >>> 16) + 1;
		return (count << 16) | (Rendezvous.hash(owner.toString()) & OWNER_MASK);
	}

}
