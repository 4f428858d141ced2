package org.banyancove.gateway.endpoint;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The prompt parts that an engine is thought to hold, the least recently used first out.
 * <p>
 * A guess, from what this gateway sent there; it moves load, never a promise.
 */
final class PromptCache {

	/** Of the engine's memory, the part that is not taken by running requests. */
	private static final double SHARE_FOR_PARTS = 0.6;

	private final Map<Long, Integer> parts = new LinkedHashMap<>(16, 0.75f, true);

	private final long mostTokens;

	private long tokens;

	PromptCache(long memoryTokens) {
		this.mostTokens = (long) (memoryTokens * SHARE_FOR_PARTS);
	}

	/**
	 * Returns the tokens of a prompt that need not be read again: a part counts only if
	 * all parts before it are held.
	 * @param prompt the prompt
	 * @return the tokens
	 */
	int heldTokens(Prompt prompt) {
		int held = 0;
		for (PromptPart part : prompt.parts()) {
			if (!this.parts.containsKey(part.id())) {
				return held;
			}
			held += part.tokens();
		}
		return held;
	}

	void add(Prompt prompt) {
		for (PromptPart part : prompt.parts()) {
			Integer before = this.parts.put(part.id(), part.tokens());
			this.tokens += part.tokens() - ((before != null) ? before : 0);
		}
		var oldest = this.parts.entrySet().iterator();
		while (this.tokens > this.mostTokens && oldest.hasNext()) {
			this.tokens -= oldest.next().getValue();
			oldest.remove();
		}
	}

}
