package org.banyancove.gateway.exchange;

/**
 * The memory that all buffered responses of a gateway take together, or all requests.
 * Confined to the event loop thread.
 */
final class BodyMemory {

	private static final int MAXIMUM_BYTES = 24 << 20;

	private int reserved;

	/**
	 * Reserves memory.
	 * @param bytes the number of bytes
	 * @return {@code false} if they take too much memory
	 */
	boolean tryReserve(int bytes) {
		if (bytes > MAXIMUM_BYTES - this.reserved) {
			return false;
		}
		this.reserved += bytes;
		return true;
	}

	/**
	 * Releases reserved memory.
	 * @param bytes the number of bytes
	 */
	void release(int bytes) {
		this.reserved -= bytes;
	}

}
