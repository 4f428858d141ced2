package org.banyancove.gateway.endpoint;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A model of an engine's prefix cache with least-recently-used eviction.
 * <p>
 * An estimate based only on the prompts that this gateway sent; it guides placement, and
 * correctness must not depend on it.
 */
final class PromptCache {

	/** Share of the engine's memory that running requests do not occupy. */
	private static final double CACHE_SHARE = 0.6;

	private final Map<Long, Integer> parts = new LinkedHashMap<>(16, 0.75f, true);

	private final long maximumTokens;

	private long tokens;

	PromptCache(long memoryTokens) {
		this.maximumTokens = (long) (memoryTokens * CACHE_SHARE);
	}

	/**
	 * Returns the cached prompt tokens. A part counts only if all parts before it are
	 * cached.
	 * @param prompt the prompt
	 * @return the number of tokens
	 */
	int cachedTokens(Prompt prompt) {
		int cached = 0;
		for (PromptPart part : prompt.parts()) {
			if (!this.parts.containsKey(part.id())) {
				return cached;
			}
			cached += part.tokens();
		}
		return cached;
	}

	void add(Prompt prompt) {
		for (PromptPart part : prompt.parts()) {
			Integer previous = this.parts.put(part.id(), part.tokens());
			this.tokens += part.tokens() - ((previous != null) ? previous : 0);
		}
		var oldest = this.parts.entrySet().iterator();
		while (this.tokens > this.maximumTokens && oldest.hasNext()) {
			this.tokens -= oldest.next().getValue();
			oldest.remove();
		}
	}

}
