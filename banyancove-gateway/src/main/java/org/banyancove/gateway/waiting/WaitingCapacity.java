package org.banyancove.gateway.waiting;

/**
 * The entries and bytes that all queues of a gateway together may hold.
 */
public final class WaitingCapacity {

	/** A second of a gateway's requests in a burst; bounds the cost of a decision. */
	private static final int MAXIMUM_ENTRIES = 1024;

	/** Bodies are kept in memory, which a small gateway has little of. */
	private static final long MAXIMUM_BYTES = 8L << 20;

	private int entries;

	private long bytes;

	/**
	 * Reserves an entry.
	 * @param entryBytes its size
	 * @return whether there was room for it
	 */
	boolean tryReserve(int entryBytes) {
		if (this.entries >= MAXIMUM_ENTRIES || this.bytes + entryBytes > MAXIMUM_BYTES) {
			return false;
		}
		this.entries++;
		this.bytes += entryBytes;
		return true;
	}

	void release(int entryBytes) {
		this.entries--;
		this.bytes -= entryBytes;
	}

	/**
	 * Returns the number of waiting requests.
	 * @return the number in all queues
	 */
	public int entries() {
		return this.entries;
	}

	/**
	 * Returns the size of the bodies of waiting requests.
	 * @return the bytes in all queues
	 */
	public long bytes() {
		return this.bytes;
	}

}
