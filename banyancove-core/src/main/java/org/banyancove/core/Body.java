package org.banyancove.core;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HexFormat;

/**
 * The immutable body of a request or an answer.
 */
public final class Body {

	/** An empty body. */
	public static final Body EMPTY = new Body(new byte[0]);

	private final byte[] bytes;

	private Body(byte[] bytes) {
		this.bytes = bytes;
	}

	/**
	 * Creates a body from a copy of the bytes.
	 * @param bytes the bytes
	 * @return the body
	 */
	public static Body copyOf(byte[] bytes) {
		return (bytes.length != 0) ? new Body(bytes.clone()) : EMPTY;
	}

	/**
	 * Creates a body from the UTF-8 encoding of a text.
	 * @param text the text
	 * @return the body
	 */
	public static Body of(String text) {
		return copyOf(text.getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Returns a copy of the bytes.
	 * @return the bytes
	 */
	public byte[] toByteArray() {
		return this.bytes.clone();
	}

	/**
	 * Returns the length.
	 * @return the number of bytes
	 */
	public int length() {
		return this.bytes.length;
	}

	/**
	 * Returns the bytes decoded as UTF-8.
	 * @return the text
	 */
	public String text() {
		return new String(this.bytes, StandardCharsets.UTF_8);
	}

	/**
	 * Returns the SHA-256 digest of the given context and the bytes.
	 * @param context the context of the bytes, so that equal bytes in different contexts
	 * have different digests
	 * @return the digest in hexadecimal
	 */
	public String digest(String... context) {
		MessageDigest digest = sha256();
		for (String word : context) {
			digest.update(word.getBytes(StandardCharsets.UTF_8));
			digest.update((byte) 0);
		}
		digest.update(this.bytes);
		return HexFormat.of().formatHex(digest.digest());
	}

	@Override
	public boolean equals(Object other) {
		return (other instanceof Body body) && Arrays.equals(this.bytes, body.bytes);
	}

	@Override
	public int hashCode() {
		return Arrays.hashCode(this.bytes);
	}

	@Override
	public String toString() {
		return "Body[" + this.bytes.length + " bytes]";
	}

	private static MessageDigest sha256() {
		try {
			return MessageDigest.getInstance("SHA-256");
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("Every Java platform must support SHA-256", ex);
		}
	}

}
