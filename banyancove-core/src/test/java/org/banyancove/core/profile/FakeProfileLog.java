package org.banyancove.core.profile;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * An in-memory profiles stream with retention.
 */
final class FakeProfileLog {

	private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

	private final List<ProfileEntry> entries = new ArrayList<>();

	private int firstRetained;

	long append(@Nullable ProfileRecord record) {
		long offset = this.entries.size();
		this.entries.add(new ProfileEntry(offset, START.plus(Duration.ofSeconds(offset)), record));
		return offset;
	}

	ProfilePage read(long from, int limit) {
		int first = (int) Math.max(from, this.firstRetained);
		int end = Math.min(this.entries.size(), first + limit);
		List<ProfileEntry> page = (first < end) ? this.entries.subList(first, end) : List.of();
		return new ProfilePage(this.firstRetained, this.entries.size(), page);
	}

	void trimTo(long offset) {
		this.firstRetained = (int) Math.max(this.firstRetained, Math.min(offset, this.entries.size()));
	}

	long firstRetained() {
		return this.firstRetained;
	}

	long endOffset() {
		return this.entries.size();
	}

}
