package org.banyancove.core.ledger;

import java.nio.ByteBuffer;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * An immutable, packed sequence of ended keys. As objects, the keys of a day would take
 * several times the memory while a checkpoint is written.
 */
public final class EndedKeys {

	/** An empty sequence. */
	public static final EndedKeys NONE = new EndedKeys(new byte[0]);

	/** The packed size of a key in bytes. */
	public static final int KEY_BYTES = 38;

	private static final int LOW_OFFSET = 8;

	private static final int BODY_OFFSET = 16;

	private static final int EXPIRES_SECOND_OFFSET = 24;

	private static final int EXPIRES_NANO_OFFSET = 32;

	private static final int STATUS_OFFSET = 36;

	private final byte[] packed;

	private EndedKeys(byte[] packed) {
		this.packed = packed;
	}

	/**
	 * Creates a sequence from its packed form.
	 * @param packed the bytes, as returned by {@link #toBytes()}
	 * @return the keys
	 * @throws IllegalArgumentException if the length is not a multiple of the key size
	 */
	public static EndedKeys of(byte[] packed) {
		if (packed.length % KEY_BYTES != 0) {
			throw new IllegalArgumentException("packed must be a multiple of " + KEY_BYTES + ": " + packed.length);
		}
		return new EndedKeys(packed.clone());
	}

	/**
	 * Packs keys.
	 * @param keys the keys
	 * @return the same keys in the same order
	 */
	public static EndedKeys of(List<EndedKey> keys) {
		ByteBuffer buffer = ByteBuffer.allocate(keys.size() * KEY_BYTES);
		for (int index = 0; index < keys.size(); index++) {
			put(buffer, index, keys.get(index));
		}
		return new EndedKeys(buffer.array());
	}

	static void put(ByteBuffer buffer, int index, EndedKey key) {
		int start = index * KEY_BYTES;
		Instant expiresAt = key.expiresAt();
		buffer.putLong(start, key.key().high());
		buffer.putLong(start + LOW_OFFSET, key.key().low());
		buffer.putLong(start + BODY_OFFSET, key.body());
		buffer.putLong(start + EXPIRES_SECOND_OFFSET, expiresAt.getEpochSecond());
		buffer.putInt(start + EXPIRES_NANO_OFFSET, expiresAt.getNano());
		buffer.putShort(start + STATUS_OFFSET, (short) key.status());
	}

	static EndedKey get(ByteBuffer buffer, int index) {
		int start = index * KEY_BYTES;
		Instant expiresAt = Instant.ofEpochSecond(buffer.getLong(start + EXPIRES_SECOND_OFFSET),
				buffer.getInt(start + EXPIRES_NANO_OFFSET));
		return new EndedKey(keyAt(buffer, index), buffer.getLong(start + BODY_OFFSET), expiresAt,
				buffer.getShort(start + STATUS_OFFSET));
	}

	static KeyDigest keyAt(ByteBuffer buffer, int index) {
		int start = index * KEY_BYTES;
		return new KeyDigest(buffer.getLong(start), buffer.getLong(start + LOW_OFFSET));
	}

	/**
	 * Returns the number of keys.
	 * @return the number of keys
	 */
	public int size() {
		return this.packed.length / KEY_BYTES;
	}

	/**
	 * Returns the keys as objects.
	 * @return the keys, in order
	 */
	public List<EndedKey> toList() {
		ByteBuffer buffer = ByteBuffer.wrap(this.packed);
		List<EndedKey> keys = new ArrayList<>(size());
		for (int index = 0; index < size(); index++) {
			keys.add(get(buffer, index));
		}
		return keys;
	}

	/**
	 * Returns the packed form.
	 * @return a copy of the bytes, {@link #KEY_BYTES} for each key
	 */
	public byte[] toBytes() {
		return this.packed.clone();
	}

	@Override
	public boolean equals(Object other) {
		return other instanceof EndedKeys keys && Arrays.equals(this.packed, keys.packed);
	}

	@Override
	public int hashCode() {
		return Arrays.hashCode(this.packed);
	}

	@Override
	public String toString() {
		return "EndedKeys[" + size() + "]";
	}

}
