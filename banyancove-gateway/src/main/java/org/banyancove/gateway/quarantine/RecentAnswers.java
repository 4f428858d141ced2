package org.banyancove.gateway.quarantine;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

import org.banyancove.core.suspect.Fingerprint;
import org.jspecify.annotations.Nullable;

/**
 * The times of the last answers, of which only the most recent ones are kept.
 */
final class RecentAnswers {

	private static final Duration RETENTION = Duration.ofSeconds(30);

	private static final int MAXIMUM_SIZE = 4096;

	/** The oldest first. */
	private final Map<Fingerprint, Long> times = new LinkedHashMap<>();

	void put(Fingerprint key, long now) {
		this.times.remove(key);
		this.times.put(key, now);
		if (this.times.size() > MAXIMUM_SIZE) {
			this.times.remove(this.times.keySet().iterator().next());
		}
	}

	@Nullable Long get(Fingerprint key, long now) {
		Long time = this.times.get(key);
		return (time != null && now - time <= RETENTION.toNanos()) ? time : null;
	}

	void expire(long now) {
		Iterator<Long> oldestFirst = this.times.values().iterator();
		while (oldestFirst.hasNext() && now - oldestFirst.next() > RETENTION.toNanos()) {
			oldestFirst.remove();
		}
	}

}
