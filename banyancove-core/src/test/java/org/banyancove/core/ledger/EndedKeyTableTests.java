package org.banyancove.core.ledger;

import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import static org.assertj.core.api.Assertions.assertThat;

class EndedKeyTableTests {

	private static final int STEPS = 20_000;

	private static final int LIVE_KEYS = 3000;

	private static final long HOME_CELL_DISTANCE = 37;

	private static final int HOME_CELLS = 150;

	// Guards against losing a key, which would let its call run a second time. Thousands
	// of keys are added, expire and are added again, most of them colliding in a few
	// cells of the index. The table must always match a plain map.
	@Property(tries = 8, seed = "20261206")
	void matchesPlainMap(@ForAll long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		EndedKeyTable table = new EndedKeyTable();
		Map<KeyDigest, EndedKey> model = new LinkedHashMap<>();
		for (int step = 0; step < STEPS; step++) {
			Instant now = Instant.ofEpochSecond(step);
			EndedKey key = key(random, step);
			EndedKey known = model.get(key.key());
			if (known == null || known.expired(now)) {
				model.remove(key.key());
				model.put(key.key(), key);
				table.add(key);
			}
			table.removeExpired(now);
			if (step % 500 == 0) {
				check(table, model, now);
			}
		}
		table.removeExpired(Instant.ofEpochSecond(2 * STEPS));
		assertThat(table.size()).isZero();
	}

	private void check(EndedKeyTable table, Map<KeyDigest, EndedKey> model, Instant now) {
		model.values().removeIf((key) -> key.expired(now));
		model.forEach((digest, key) -> assertThat(table.find(digest)).isEqualTo(key));
		List<EndedKey> live = new ArrayList<>();
		table.live(now, 100).forEach((part) -> live.addAll(part.toList()));
		assertThat(live).containsExactlyElementsOf(model.values());
	}

	private EndedKey key(SplittableRandom random, int step) {
		KeyDigest digest = new KeyDigest(random.nextInt(2 * LIVE_KEYS),
				random.nextInt(HOME_CELLS) * HOME_CELL_DISTANCE);
		Instant expiresAt = Instant.ofEpochSecond(step + LIVE_KEYS - random.nextInt(50), random.nextInt(1_000_000_000));
		return new EndedKey(digest, random.nextLong(), expiresAt, random.nextInt(600));
	}

}
