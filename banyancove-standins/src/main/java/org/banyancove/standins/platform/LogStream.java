package org.banyancove.standins.platform;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/**
 * An append-only stream of the log. Offsets start at zero and have no gaps. This class is
 * thread-safe.
 */
final class LogStream {

	private final ReentrantLock lock = new ReentrantLock();

	private final Condition appended = this.lock.newCondition();

	private final Duration retention;

	private final InstantSource clock;

	private final List<LogRecord> records = new ArrayList<>();

	private long firstRetained;

	LogStream(Duration retention, InstantSource clock) {
		this.retention = retention;
		this.clock = clock;
	}

	AppendAnswer append(List<NewRecord> newRecords) {
		this.lock.lock();
		try {
			long firstOffset = endOffset();
			String now = this.clock.instant().toString();
			for (NewRecord record : newRecords) {
				this.records.add(new LogRecord(endOffset(), record.id(), record.data(), now));
			}
			this.appended.signalAll();
			return new AppendAnswer(firstOffset, endOffset() - 1);
		}
		finally {
			this.lock.unlock();
		}
	}

	ReadAnswer read(long from, int limit, Duration wait) throws InterruptedException {
		this.lock.lock();
		try {
			long remainingNanos = wait.toNanos();
			while (from >= endOffset() && remainingNanos > 0) {
				remainingNanos = this.appended.awaitNanos(remainingNanos);
			}
			removeExpired();
			int start = Math.toIntExact(Math.clamp(from - this.firstRetained, 0L, this.records.size()));
			int end = Math.min(this.records.size(), start + limit);
			return new ReadAnswer(this.firstRetained, endOffset(), List.copyOf(this.records.subList(start, end)));
		}
		finally {
			this.lock.unlock();
		}
	}

	private long endOffset() {
		return this.firstRetained + this.records.size();
	}

	private void removeExpired() {
		int expired = 0;
		while (expired < this.records.size()
				&& this.records.get(expired).appendedInstant().plus(this.retention).isBefore(this.clock.instant())) {
			expired++;
		}
		this.records.subList(0, expired).clear();
		this.firstRetained += expired;
	}

	record NewRecord(String id, String data) {
	}

	record AppendAnswer(long firstOffset, long lastOffset) {
	}

	record ReadAnswer(long firstRetained, long endOffset, List<LogRecord> records) {
	}

}
