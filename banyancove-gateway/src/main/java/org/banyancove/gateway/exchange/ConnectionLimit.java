package org.banyancove.gateway.exchange;

/**
 * A limit of the connections to one address.
 *
 * @param open the maximum number of open connections
 * @param kept the number of open connections up to which an idle one is kept
 */
public record ConnectionLimit(int open, int kept) {

	/**
	 * Creates the limit.
	 * @throws IllegalArgumentException if {@code open} is below 1 or {@code kept} is
	 * above {@code open}
	 */
	public ConnectionLimit {
		if (open < 1 || kept > open) {
			throw new IllegalArgumentException("open must be at least 1, and kept at most open: " + open + ", " + kept);
		}
	}

}
