package org.banyancove.experiment;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.banyancove.core.routing.PromptPrefix;

/**
 * An engine's prefix cache with eviction of the least recently used prefix.
 */
final class PrefixCache {

	private final Map<Long, Block> blocks = new LinkedHashMap<>(16, 0.75f, true);

	private final long capacityTokens;

	private long usedTokens;

	PrefixCache(long capacityTokens) {
		this.capacityTokens = capacityTokens;
	}

	int cachedTokens(List<PromptPrefix> prefixes) {
		int cached = 0;
		for (PromptPrefix prefix : prefixes) {
			if (this.blocks.get(prefix.digest()) == null) {
				return cached;
			}
			cached = prefix.tokens();
		}
		return cached;
	}

	void store(List<PromptPrefix> prefixes, Consumer<PromptPrefix> stored, Consumer<PromptPrefix> evicted) {
		int previousTokens = 0;
		for (PromptPrefix prefix : prefixes) {
			Block block = new Block(prefix, prefix.tokens() - previousTokens);
			previousTokens = prefix.tokens();
			if (this.blocks.put(prefix.digest(), block) == null) {
				this.usedTokens += block.tokens();
				stored.accept(prefix);
			}
		}
		Iterator<Block> eldest = this.blocks.values().iterator();
		while (this.usedTokens > this.capacityTokens) {
			Block block = eldest.next();
			eldest.remove();
			this.usedTokens -= block.tokens();
			evicted.accept(block.prefix());
		}
	}

	void clear() {
		this.blocks.clear();
		this.usedTokens = 0;
	}

	private record Block(PromptPrefix prefix, int tokens) {
	}

}
