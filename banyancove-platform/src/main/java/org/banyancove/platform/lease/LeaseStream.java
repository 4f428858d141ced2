package org.banyancove.platform.lease;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.banyancove.core.planner.LeaseRecord;
import org.banyancove.platform.AppendResult;
import org.banyancove.platform.LogClient;
import org.banyancove.platform.LogPage;
import org.banyancove.platform.LogRecord;
import org.banyancove.platform.StreamReader;

/**
 * A client of the leases stream on the platform's log. Thread-safe.
 */
public final class LeaseStream {

	private static final Duration RETRY_DELAY = Duration.ofMillis(250);

	private static final long INITIAL_STEP_RECORDS = 1000;

	private final LogClient log;

	private final LeaseRecordCodec codec = new LeaseRecordCodec();

	/**
	 * Creates a client.
	 * @param log the log
	 */
	public LeaseStream(LogClient log) {
		this.log = log;
	}

	/**
	 * Appends a record. Reading the stream determines which planner holds the lease.
	 * @param record the record
	 * @return the known outcome of the append; never completes exceptionally
	 */
	public CompletableFuture<AppendResult> append(LeaseRecord record) {
		return this.log.append(LeaseRecord.STREAM_NAME, List.of(this.codec.newRecord(record)));
	}

	/**
	 * Reads the stream continuously. If the log retains more, reading starts
	 * {@link LeaseRecord#MAXIMUM_DURATION} before the newest record: each lease that was
	 * valid at that time has a later record, and a starting planner reads some thousand
	 * records instead of a million of a week.
	 * @param wait the maximum time that a read waits at the log for new records
	 * @param timer schedules retries; reading stops when it is shut down
	 * @param records receives the records of each page, in order, on one thread at a
	 * time; a page may be empty
	 */
	public void subscribe(Duration wait, ScheduledExecutorService timer, Consumer<List<LoggedLeaseRecord>> records) {
		StreamReader reader = new StreamReader(this.log, LeaseRecord.STREAM_NAME, wait, timer,
				(page) -> records.accept(decode(page)), (failure) -> {
				});
		findStartOffset().whenComplete((from, failure) -> {
			if (failure == null) {
				reader.start(from);
			}
			else if (!timer.isShutdown()) {
				timer.schedule(() -> subscribe(wait, timer, records), RETRY_DELAY.toMillis(), TimeUnit.MILLISECONDS);
			}
		});
	}

	private CompletableFuture<Long> findStartOffset() {
		return read(0).thenCompose((first) -> {
			if (first.endOffset() - first.firstRetained() <= INITIAL_STEP_RECORDS) {
				return CompletableFuture.completedFuture(first.firstRetained());
			}
			return read(first.endOffset() - 1).thenCompose((newest) -> {
				Instant startTime = newest.records().getLast().appendedAt().minus(LeaseRecord.MAXIMUM_DURATION);
				return searchBackwards(first.endOffset(), INITIAL_STEP_RECORDS, startTime);
			});
		});
	}

	private CompletableFuture<Long> searchBackwards(long end, long step, Instant startTime) {
		return read(Math.max(0, end - step)).thenCompose((page) -> {
			LogRecord oldest = page.records().getFirst();
			if (oldest.offset() == page.firstRetained() || oldest.appendedAt().isBefore(startTime)) {
				return CompletableFuture.completedFuture(oldest.offset());
			}
			return searchBackwards(end, 2 * step, startTime);
		});
	}

	private CompletableFuture<LogPage> read(long from) {
		return this.log.read(LeaseRecord.STREAM_NAME, from, 1, Duration.ZERO);
	}

	private List<LoggedLeaseRecord> decode(LogPage page) {
		return page.records().stream().flatMap((record) -> decode(record).stream()).toList();
	}

	private List<LoggedLeaseRecord> decode(LogRecord log) {
		LeaseRecord record = this.codec.decode(log.data());
		return (record != null) ? List.of(new LoggedLeaseRecord(log.offset(), record, log.appendedAt())) : List.of();
	}

}
