package org.banyancove.standins.engine;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.banyancove.standins.support.Digests;

/**
 * The text that a model generates. It depends only on the model and the messages, so that
 * a response assembled from several engines can be verified word by word.
 */
public final class TokenText {

	private static final List<String> SYLLABLES = List.of("ka", "re", "mo", "ti", "lu", "sa", "ne", "po", "vi", "da",
			"ho", "wai", "fe", "gu", "ra", "be");

	private static final int SEED_DIGITS = 15;

	private static final long HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;

	private final long seed;

	/**
	 * Creates the text for a model and messages.
	 * @param model the model
	 * @param messages the messages
	 */
	public TokenText(String model, List<ChatRequest.Message> messages) {
		String text = model + "\n"
				+ messages.stream()
					.map((message) -> message.role() + ":" + message.content())
					.collect(Collectors.joining("\n"));
		this.seed = Long.parseLong(Digests.hex(text.getBytes(StandardCharsets.UTF_8), SEED_DIGITS), 16);
	}

	/**
	 * Returns the text of a token: a word, preceded by a space unless it is the first.
	 * @param index the token's index from zero
	 * @return the text
	 */
	public String piece(int index) {
		long mixed = (this.seed + index) * HASH_MULTIPLIER;
		String word = SYLLABLES.get((int) (mixed >>> 60)) + SYLLABLES.get((int) (mixed >>> 56) & 15)
				+ SYLLABLES.get((int) (mixed >>> 52) & 15);
		return (index > 0) ? " " + word : word;
	}

	/**
	 * Returns the text of a range of tokens.
	 * @param from the index of the first token
	 * @param to the index after the last token
	 * @return the text
	 */
	public String text(int from, int to) {
		return IntStream.range(from, to).mapToObj(this::piece).collect(Collectors.joining());
	}

}
