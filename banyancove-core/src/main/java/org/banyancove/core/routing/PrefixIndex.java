package org.banyancove.core.routing;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Index of the endpoints that probably have a prompt prefix in their cache.
 * <p>
 * Cache events arrive late and may be lost, so the index is approximate: placement uses
 * it for cost estimates only, never for correctness. A prefix counts as cached as soon as
 * this entry has sent a prompt with it. A gap in an engine's events leaves the index
 * unchanged: a lost event may have been an eviction, but reducing the weight of older
 * entries, or ignoring them, recomputes more tokens than it saves. The size is bounded;
 * the least recently used prefixes are evicted first.
 */
final class PrefixIndex {

	static final int MAXIMUM_PREFIXES = 20_000;

	private static final int MAXIMUM_HOLDERS = 8;

	private static final CacheGeneration[] NO_HOLDERS = {};

	private final Map<Long, CacheGeneration[]> holders = new LinkedHashMap<>(16, 0.75f, true) {
		@Override
		protected boolean removeEldestEntry(Map.Entry<Long, CacheGeneration[]> eldest) {
			return size() > MAXIMUM_PREFIXES;
		}
	};

	void stored(Endpoint endpoint, PromptPrefix prefix) {
		CacheGeneration[] current = this.holders.getOrDefault(prefix.digest(), NO_HOLDERS);
		if (current.length > 0 && current[current.length - 1] == endpoint.cacheGeneration()) {
			return;
		}
		CacheGeneration[] others = without(current, endpoint);
		int dropped = ((others.length == MAXIMUM_HOLDERS) ? 1 : 0);
		CacheGeneration[] all = Arrays.copyOfRange(others, dropped, others.length + 1);
		all[all.length - 1] = endpoint.cacheGeneration();
		this.holders.put(prefix.digest(), all);
	}

	void evicted(Endpoint endpoint, PromptPrefix prefix) {
		CacheGeneration[] current = this.holders.get(prefix.digest());
		if (current == null) {
			return;
		}
		CacheGeneration[] others = without(current, endpoint);
		if (others.length == 0) {
			this.holders.remove(prefix.digest());
		}
		else {
			this.holders.put(prefix.digest(), others);
		}
	}

	/**
	 * Adds the endpoints that have a prefix of a prompt cached.
	 * @param prefixes the prompt's prefixes, shortest first
	 * @param candidates the candidates to which the endpoints are added with their cached
	 * tokens
	 */
	void addHolders(List<PromptPrefix> prefixes, Candidates candidates) {
		for (int i = prefixes.size() - 1; i >= 0 && !candidates.isFull(); i--) {
			PromptPrefix prefix = prefixes.get(i);
			for (CacheGeneration holder : this.holders.getOrDefault(prefix.digest(), NO_HOLDERS)) {
				if (holder.isCurrent()) {
					candidates.add(holder.endpoint(), prefix.tokens());
				}
			}
		}
	}

	/**
	 * Returns the estimated number of prompt tokens that an endpoint has cached.
	 * @param prefixes the prompt's prefixes, shortest first
	 * @param endpoint the endpoint
	 * @return the number of tokens
	 */
	double cachedTokens(List<PromptPrefix> prefixes, Endpoint endpoint) {
		for (int i = prefixes.size() - 1; i >= 0; i--) {
			for (CacheGeneration holder : this.holders.getOrDefault(prefixes.get(i).digest(), NO_HOLDERS)) {
				if (holder.endpoint() == endpoint && holder.isCurrent()) {
					return prefixes.get(i).tokens();
				}
			}
		}
		return 0;
	}

	int size() {
		return this.holders.size();
	}

	// Returns the live holders except for one endpoint.
	private static CacheGeneration[] without(CacheGeneration[] current, Endpoint endpoint) {
		CacheGeneration[] others = new CacheGeneration[current.length];
		int count = 0;
		for (CacheGeneration holder : current) {
			if (holder.endpoint() != endpoint && holder.endpoint().isLive() && holder.isCurrent()) {
				others[count] = holder;
				count++;
			}
		}
		return Arrays.copyOf(others, count);
	}

}
