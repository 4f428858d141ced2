package org.banyancove.core.membership;

import java.time.Instant;
import java.time.InstantSource;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The notices that were already forwarded, so that each is forwarded only once.
 */
final class SeenNotices {

	private final InstantSource clock;

	private final Map<String, Instant> notices = new LinkedHashMap<>();

	SeenNotices(InstantSource clock) {
		this.clock = clock;
	}

	boolean addIfAbsent(String notice) {
		return this.notices.putIfAbsent(notice, this.clock.instant()) == null;
	}

	void removeBefore(Instant limit) {
		this.notices.values().removeIf((at) -> at.isBefore(limit));
	}

}
