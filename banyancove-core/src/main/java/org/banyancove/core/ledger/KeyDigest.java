package org.banyancove.core.ledger;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * The first 128 bits of the SHA-256 of a key, which represent the key where the key
 * itself is too large to be kept. Two keys with the same digest would share an outcome.
 * Among 10^9 keys the probability of a collision is about 10^-21, and a caller who
 * constructs a collision can only affect keys of its own account.
 *
 * @param high the first 64 bits
 * @param low the next 64 bits
 */
public record KeyDigest(long high, long low) {

	private static final byte SEPARATOR = 0;

	/**
	 * Returns the digest of a key, which is the same in every process.
	 * @param key the key
	 * @return the digest
	 */
	public static KeyDigest of(CallKey key) {
		ByteBuffer hash = sha256(key.account().value(), key.service().value(), key.key());
		return new KeyDigest(hash.getLong(), hash.getLong());
	}

	static long truncate(BodyDigest digest) {
		return sha256(digest.value()).getLong();
	}

	private static ByteBuffer sha256(String... texts) {
		try {
			MessageDigest digest = MessageDigest.getInstance("SHA-256");
			for (String text : texts) {
				digest.update(text.getBytes(StandardCharsets.UTF_8));
				digest.update(SEPARATOR);
			}
			return ByteBuffer.wrap(digest.digest());
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("SHA-256 must be available in every Java runtime", ex);
		}
	}

}
