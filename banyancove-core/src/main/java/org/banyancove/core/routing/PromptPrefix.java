package org.banyancove.core.routing;

/**
 * A prefix of a prompt, the unit in which engines report their cache contents.
 *
 * @param digest the first 64 bits of the prefix's SHA-256 digest
 * @param tokens the number of tokens in the prefix, positive
 */
public record PromptPrefix(long digest, int tokens) {

	private static final int HEXADECIMAL = 16;

	/**
	 * Creates the prefix.
	 * @throws IllegalArgumentException if {@code tokens} is not positive
	 */
	public PromptPrefix {
		if (tokens <= 0) {
			throw new IllegalArgumentException("tokens must be positive: " + tokens);
		}
	}

	/**
	 * Creates the prefix from a hexadecimal digest.
	 * @param digest 16 hexadecimal digits
	 * @param tokens the number of tokens in the prefix
	 * @return the prefix
	 * @throws IllegalArgumentException if the digest is not hexadecimal
	 */
	public static PromptPrefix ofHex(String digest, int tokens) {
		return new PromptPrefix(Long.parseUnsignedLong(digest, HEXADECIMAL), tokens);
	}

}
