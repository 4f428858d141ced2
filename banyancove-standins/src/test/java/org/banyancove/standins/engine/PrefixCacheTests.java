package org.banyancove.standins.engine;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PrefixCacheTests {

	private final List<String> events = new ArrayList<>();

	private final PrefixCache cache = new PrefixCache(200,
			(kind, digest, tokens) -> this.events.add(kind + " " + tokens));

	@Test
	void evictsLeastRecentlyUsedPrefixesOverCapacity() {
		List<String> first = Collections.nCopies(150, "first");
		List<String> second = Collections.nCopies(70, "second");
		assertThat(this.cache.use(first)).isZero();
		assertThat(this.cache.use(first)).isEqualTo(128);
		assertThat(this.cache.use(second)).isZero();
		assertThat(this.cache.use(second)).isEqualTo(64);
		assertThat(this.cache.use(Collections.nCopies(64, "third"))).isZero();
		assertThat(this.cache.use(second)).isEqualTo(64);
		assertThat(this.cache.use(first.subList(0, 64))).isEqualTo(64);
		assertThat(this.cache.usedTokens()).isLessThanOrEqualTo(200);
		assertThat(this.events).containsExactly("stored 128", "stored 64", "stored 64", "stored 64", "evicted 128");
	}

}
