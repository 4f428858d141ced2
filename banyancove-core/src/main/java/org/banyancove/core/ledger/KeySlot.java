package org.banyancove.core.ledger;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/**
 * A hash partition of the keys. Each of the fixed number of slots is a stream of the log.
 * <p>
 * All processes that share a log must use the same number of slots: otherwise a key would
 * map to two streams and could be claimed on both.
 *
 * @param index the slot's index, from 0
 */
public record KeySlot(int index) implements Comparable<KeySlot> {

	/** Default number of slots. */
	public static final int DEFAULT_COUNT = 8;

	private static final String STREAM_PREFIX = "keys-";

	/**
	 * Creates the slot.
	 * @throws IllegalArgumentException if {@code index} is negative
	 */
	public KeySlot {
		if (index < 0) {
			throw new IllegalArgumentException("index must not be negative: " + index);
		}
	}

	/**
	 * Returns the slot of a key, which is the same in every process.
	 * @param key the key
	 * @param count the number of slots
	 * @return the slot
	 */
	public static KeySlot of(CallKey key, int count) {
		CRC32C hash = new CRC32C();
		update(hash, key.account().value());
		update(hash, key.service().value());
		update(hash, key.key());
		return new KeySlot((int) (hash.getValue() % count));
	}

	/**
	 * Returns the name of the slot's stream on the log.
	 * @return the stream's name
	 */
	public String streamName() {
		return STREAM_PREFIX + this.index;
	}

	@Override
	public int compareTo(KeySlot other) {
		return Integer.compare(this.index, other.index);
	}

	private static void update(CRC32C hash, String text) {
		hash.update(text.getBytes(StandardCharsets.UTF_8));
		hash.update(0);
	}

}
