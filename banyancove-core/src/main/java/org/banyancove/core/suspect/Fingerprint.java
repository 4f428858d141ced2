package org.banyancove.core.suspect;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

import org.banyancove.core.AccountName;

/**
 * A digest of account and content that identifies a request when its caller repeats it
 * under another identifier or at another entry.
 *
 * @param high the first 64 bits of the digest
 * @param low the next 64 bits
 */
public record Fingerprint(long high, long low) implements Comparable<Fingerprint> {

	/**
	 * Computes the fingerprint of a request.
	 * @param account the account
	 * @param body the request's body
	 * @return the fingerprint
	 */
	public static Fingerprint of(AccountName account, byte[] body) {
		MessageDigest digest = sha256();
		digest.update(account.value().getBytes(StandardCharsets.UTF_8));
		digest.update((byte) 0);
		ByteBuffer bytes = ByteBuffer.wrap(digest.digest(body));
		return new Fingerprint(bytes.getLong(), bytes.getLong());
	}

	/**
	 * Returns the fingerprint in hexadecimal.
	 * @return 32 digits
	 */
	public String toHex() {
		HexFormat format = HexFormat.of();
		return format.toHexDigits(this.high) + format.toHexDigits(this.low);
	}

	private static MessageDigest sha256() {
		try {
			return MessageDigest.getInstance("SHA-256");
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("Every Java platform must support SHA-256", ex);
		}
	}

	@Override
	public int compareTo(Fingerprint other) {
		int byHigh = Long.compare(this.high, other.high);
		return ((byHigh != 0) ? byHigh : Long.compare(this.low, other.low));
	}

}
