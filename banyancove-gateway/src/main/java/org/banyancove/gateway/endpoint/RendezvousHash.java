package org.banyancove.gateway.endpoint;

/**
 * The weights of rendezvous hashing, which are identical on all gateways.
 */
public final class RendezvousHash {

	private RendezvousHash() {
	}

	/**
	 * Returns the weight of a member for a key; the member with the highest weight owns
	 * the key.
	 * @param key the key
	 * @param member the member's name
	 * @return the weight
	 */
	public static long weight(long key, String member) {
		return mix(key ^ mix(member.hashCode()));
	}

	// The finalizer of SplitMix64, which distributes adjacent keys evenly.
	private static long mix(long value) {
		long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
		mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
		return mixed ^ (mixed >>> 31);
	}

}
