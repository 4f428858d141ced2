package org.banyancove.standins.support;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Computes hexadecimal SHA-256 digests.
 */
public final class Digests {

	private Digests() {
	}

	/**
	 * Returns a prefix of the hexadecimal SHA-256 digest.
	 * @param bytes the bytes to digest
	 * @param digits the number of hexadecimal digits, at most 64
	 * @return the first digits
	 */
	public static String hex(byte[] bytes, int digits) {
		try {
			byte[] digest = MessageDigest.getInstance("SHA-256").digest(bytes);
			return HexFormat.of().formatHex(digest).substring(0, digits);
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("Every Java platform must provide SHA-256", ex);
		}
	}

}
