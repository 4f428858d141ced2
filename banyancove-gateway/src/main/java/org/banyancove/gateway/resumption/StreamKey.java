package org.banyancove.gateway.resumption;

/**
 * Identifies a stream by the request that began it, its account and its path.
 *
 * @param high depends on the account alone, so that no other account obtains the key
 * @param low depends on the request id, the host and the path
 */
public record StreamKey(long high, long low) {

	/**
	 * Returns the key's hash, which is identical on all gateways.
	 * @return the hash
	 */
	public long hash() {
		return this.high ^ this.low;
	}

}
