package org.banyancove.distribution;

import java.net.URI;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicReference;

import org.banyancove.core.DataCenterName;
import org.banyancove.core.Incarnation;
import org.banyancove.core.VmId;
import org.banyancove.core.ledger.RecordId;
import org.banyancove.core.planner.LeaseRecord;
import org.banyancove.core.planner.LeaseTable;
import org.banyancove.platform.LogClient;
import org.banyancove.platform.NewRecord;
import org.banyancove.platform.PlatformConnection;
import org.banyancove.platform.lease.LeaseRecordCodec;
import org.banyancove.platform.lease.LeaseStream;
import org.banyancove.platform.lease.LoggedLeaseRecord;
import org.banyancove.standins.platform.PlatformOptions;
import org.banyancove.standins.platform.PlatformStandin;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the lease stream over the log of the platform.
 */
class LeaseStreamTests {

	private static final int OLD_RECORDS = 3_000;

	private static final int NEW_RECORDS = 1_500;

	private static final DataCenterName NORTH = new DataCenterName("north1");

	private static final Incarnation HOLDER = new Incarnation(new VmId("planner-1"), 1);

	// A planner starts when the log holds days of renewals. It reads the last ten
	// minutes, which takes more than one step backwards here, and finds the current
	// lease. A planner that missed it would request the lease and, by its own
	// reading of the log, acquire it.
	@Test
	void lateReaderReadsOnlyTailAndFindsCurrentLease() {
		AtomicReference<Instant> now = new AtomicReference<>(Instant.parse("2026-01-01T00:00:00Z"));
		PlatformOptions options = PlatformOptions.defaults().withClock(now::get);
		try (PlatformStandin platform = new PlatformStandin(options).start();
				PlatformConnection connection = new PlatformConnection(
						URI.create("http://127.0.0.1:" + platform.address().getPort()), Duration.ofSeconds(20),
						Runnable::run);
				ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor()) {
			LogClient log = new LogClient(connection);
			append(log, 0, OLD_RECORDS);
			now.set(now.get().plus(LeaseRecord.MAXIMUM_DURATION).plusSeconds(1));
			append(log, OLD_RECORDS, NEW_RECORDS);
			List<LoggedLeaseRecord> read = new CopyOnWriteArrayList<>();
			new LeaseStream(log).subscribe(Duration.ofMillis(100), timer, read::addAll);
			Await.until("the end of the stream is read",
					() -> !read.isEmpty() && read.getLast().offset() == OLD_RECORDS + NEW_RECORDS - 1);
			assertThat(read.getFirst().offset()).isBetween(1L, (long) OLD_RECORDS);
			LeaseTable table = new LeaseTable();
			read.forEach((record) -> table.apply(record.offset(), record.record(), record.appendedAt()));
			assertThat(table.find(NORTH)).get().satisfies((lease) -> {
				assertThat(lease.holder()).isEqualTo(HOLDER);
				assertThat(lease.fence()).isZero();
			});
			timer.shutdownNow();
		}
	}

	private static void append(LogClient log, int from, int count) {
		LeaseRecordCodec codec = new LeaseRecordCodec();
		List<NewRecord> records = new ArrayList<>();
		for (int number = from; number < from + count; number++) {
			RecordId id = RecordId.of(HOLDER, number);
			records.add(codec
				.newRecord((number == 0) ? new LeaseRecord.Acquired(id, NORTH, HOLDER, LeaseRecord.MAXIMUM_DURATION)
						: new LeaseRecord.Renewed(id, NORTH, HOLDER, 0, LeaseRecord.MAXIMUM_DURATION)));
		}
		log.append(LeaseRecord.STREAM_NAME, records).join();
	}

}
