package org.banyancove.core.entry;

import java.util.ArrayList;
import java.util.List;

import org.banyancove.core.Body;
import org.banyancove.core.routing.PromptPrefix;

/**
 * The properties of a model request's prompt that determine its placement.
 *
 * @param tokens the prompt's length in tokens, estimated as its number of words
 * @param prefixes the digests of its prefixes, shortest first
 * @param maximumTokens the maximum number of tokens of the answer
 */
public record Prompt(int tokens, List<PromptPrefix> prefixes, int maximumTokens) {

	private static final int MINIMUM_PREFIX_WORDS = 64;

	private static final int DIGEST_HEXADECIMAL_DIGITS = 16;

	/**
	 * Creates the prompt with an immutable copy of the prefixes.
	 */
	public Prompt {
		prefixes = List.copyOf(prefixes);
	}

	/**
	 * Creates a prompt from its text, with prefixes of 64 words, 128 words and so on,
	 * doubling up to its length.
	 * @param text the text of all messages in order
	 * @param maximumTokens the maximum number of tokens of the answer
	 * @return the prompt
	 */
	public static Prompt of(String text, int maximumTokens) {
		List<String> words = words(text);
		List<PromptPrefix> prefixes = new ArrayList<>();
		for (int length = MINIMUM_PREFIX_WORDS; length <= words.size(); length *= 2) {
			String prefix = String.join(" ", words.subList(0, length));
			String digest = Body.of(prefix).digest().substring(0, DIGEST_HEXADECIMAL_DIGITS);
			prefixes.add(PromptPrefix.ofHex(digest, length));
		}
		return new Prompt(words.size(), prefixes, maximumTokens);
	}

	private static List<String> words(String text) {
		String stripped = text.strip();
		return stripped.isEmpty() ? List.of() : List.of(stripped.split("\\s+"));
	}

}
