package org.banyancove.core.suspect;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * The suspect requests by fingerprint. Bounded; suspects that were not seen for the
 * retention time are removed.
 */
final class SuspectTable {

	static final int MAXIMUM_SUSPECTS = 10_000;

	private final Map<Fingerprint, Suspect> suspects = new LinkedHashMap<>(16, 0.75f, true) {
		@Override
		protected boolean removeEldestEntry(Map.Entry<Fingerprint, Suspect> eldest) {
			return size() > MAXIMUM_SUSPECTS;
		}
	};

	@Nullable Suspect find(Fingerprint fingerprint) {
		return this.suspects.get(fingerprint);
	}

	Suspect findOrAdd(Fingerprint fingerprint, Instant now) {
		return this.suspects.computeIfAbsent(fingerprint, (key) -> new Suspect(key, now));
	}

	Collection<Suspect> all() {
		return this.suspects.values();
	}

	int size() {
		return this.suspects.size();
	}

	void removeExpired(Instant now, Duration retention) {
		this.suspects.values().removeIf((suspect) -> suspect.lastSeen().plus(retention).isBefore(now));
	}

}
