package org.banyancove.gateway.endpoint;

/**
 * A part of a prompt that several requests may share.
 *
 * @param id the identifier of the part's text
 * @param tokens the part's length in tokens
 */
public record PromptPart(long id, int tokens) {

	/**
	 * Creates the part.
	 * @throws IllegalArgumentException if {@code tokens} is negative
	 */
	public PromptPart {
		if (tokens < 0) {
			throw new IllegalArgumentException("tokens must not be negative: " + tokens);
		}
	}

}
