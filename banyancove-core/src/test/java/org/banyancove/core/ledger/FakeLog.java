package org.banyancove.core.ledger;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

/**
 * A slot's stream with all records ever appended and the first offset that can still be
 * read.
 */
final class FakeLog {

	private final List<LoggedRecord> records = new ArrayList<>();

	private int firstRetained;

	AppendResult.Appended append(List<LedgerRecord> appended, Instant now) {
		long first = this.records.size();
		appended.forEach((record) -> this.records.add(new LoggedRecord(this.records.size(), record, now)));
		return new AppendResult.Appended(first, this.records.size() - 1L);
	}

	int trim(Instant now, Duration retention) {
		int before = this.firstRetained;
		while (this.firstRetained < this.records.size()
				&& this.records.get(this.firstRetained).appendedAt().plus(retention).isBefore(now)) {
			this.firstRetained++;
		}
		return this.firstRetained - before;
	}

	Read read(long from, int limit) {
		int start = (int) Math.max(from, this.firstRetained);
		int end = Math.min(this.records.size(), start + limit);
		List<LoggedRecord> found = (start < end) ? List.copyOf(this.records.subList(start, end)) : List.of();
		return new Read(this.firstRetained, this.records.size(), found);
	}

	LoggedRecord get(long offset) {
		return this.records.get((int) offset);
	}

	List<LoggedRecord> all() {
		return this.records;
	}

	record Read(long firstRetained, long endOffset, List<LoggedRecord> records) {

	}

}
