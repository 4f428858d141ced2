package org.banyancove.gateway.endpoint;

/**
 * A part of a prompt that several requests may share.
 *
 * @param id identifies the part's text
 * @param tokens its length
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
