package org.banyancove.standins.engine;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.banyancove.standins.support.Digests;

/**
 * LRU cache of prompt prefixes of 64, 128, 256, … words by digest. This class is
 * thread-safe.
 */
final class PrefixCache {

	private static final int MINIMUM_PREFIX_LENGTH = 64;

	private static final int DIGEST_DIGITS = 16;

	private final int limitTokens;

	private final CacheListener listener;

	private final Map<String, Integer> lengthByDigest = new LinkedHashMap<>(16, 0.75f, true);

	private int usedTokens;

	PrefixCache(int limitTokens, CacheListener listener) {
		this.limitTokens = limitTokens;
		this.listener = listener;
	}

	/**
	 * Returns the length of a prompt's longest cached prefix, and caches all its
	 * prefixes.
	 * @param words the prompt's words
	 * @return the number of words that need not be computed
	 */
	synchronized int use(List<String> words) {
		int cached = 0;
		List<Prefix> prefixes = prefixes(words);
		for (Prefix prefix : prefixes) {
			if (!this.lengthByDigest.containsKey(prefix.digest())) {
				break;
			}
			cached = prefix.length();
		}
		// Store the longest first, so that short prefixes, which more prompts share, are
		// evicted last.
		prefixes.reversed().forEach(this::store);
		evict();
		return cached;
	}

	synchronized int usedTokens() {
		return this.usedTokens;
	}

	private void store(Prefix prefix) {
		if (this.lengthByDigest.putIfAbsent(prefix.digest(), prefix.length()) == null) {
			this.usedTokens += incrementalTokens(prefix.length());
			this.listener.changed("stored", prefix.digest(), prefix.length());
		}
	}

	private void evict() {
		Iterator<Map.Entry<String, Integer>> leastRecentlyUsed = this.lengthByDigest.entrySet().iterator();
		while (this.usedTokens > this.limitTokens && leastRecentlyUsed.hasNext()) {
			Map.Entry<String, Integer> entry = leastRecentlyUsed.next();
			this.usedTokens -= incrementalTokens(entry.getValue());
			this.listener.changed("evicted", entry.getKey(), entry.getValue());
			leastRecentlyUsed.remove();
		}
	}

	private static int incrementalTokens(int length) {
		// A longer prefix shares the memory of the shorter ones before it.
		return (length > MINIMUM_PREFIX_LENGTH) ? length / 2 : length;
	}

	private static List<Prefix> prefixes(List<String> words) {
		List<Prefix> prefixes = new ArrayList<>();
		for (int length = MINIMUM_PREFIX_LENGTH; length <= words.size(); length *= 2) {
			String text = String.join(" ", words.subList(0, length));
			prefixes.add(new Prefix(Digests.hex(text.getBytes(StandardCharsets.UTF_8), DIGEST_DIGITS), length));
		}
		return prefixes;
	}

	private record Prefix(String digest, int length) {
	}

	/**
	 * Receives the changes of the cache.
	 */
	@FunctionalInterface
	interface CacheListener {

		void changed(String kind, String digest, int tokens);

	}

}
