package org.banyancove.platform.ledger;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

import org.banyancove.core.AccountName;
import org.banyancove.core.Body;
import org.banyancove.core.Incarnation;
import org.banyancove.core.ServiceName;
import org.banyancove.core.VmId;
import org.banyancove.core.ledger.BodyDigest;
import org.banyancove.core.ledger.CallKey;
import org.banyancove.core.ledger.KeyTable;
import org.banyancove.core.ledger.LedgerRecord;
import org.banyancove.core.ledger.RecordId;
import org.banyancove.core.ledger.StoredAnswer;
import org.junit.jupiter.api.Test;

/**
 * Measures the cost of the fold at three table sizes. Not part of the test suite; run
 * with {@code bin/build -q test -pl banyancove-platform -am -Dtest=LedgerMeasurement
 * -Dsurefire.failIfNoSpecifiedTests=false -Dsurefire.argLine="-Xmx3g -XX:+UseSerialGC"}.
 */
class LedgerMeasurement {

	private static final int[] SIZES = { 10_000, 100_000, 1_000_000 };

	private static final int CHECKPOINT_KEYS = 20_000;

	private static final int MEASURED_CALLS = 300_000;

	/** The ratio of a key window of one day to an answer window of ten minutes. */
	private static final int WINDOWS_PER_KEY_WINDOW = 144;

	private static final Duration BETWEEN_CALLS = Duration.ofMillis(1);

	private static final StoredAnswer ANSWER = new StoredAnswer(201, "application/json",
			Body.copyOf(
					"{\"booking\":\"b-000000\",\"quay\":\"mahebourg\",\"sacks\":40}".getBytes(StandardCharsets.UTF_8)),
			true);

	private final LedgerRecordCodec codec = new LedgerRecordCodec();

	private long offset;

	@Test
	void printsFoldCosts() {
		measure(SIZES[0], 1);
		measure(SIZES[0], WINDOWS_PER_KEY_WINDOW);
		for (int size : SIZES) {
			measure(size, 1);
			measure(size, WINDOWS_PER_KEY_WINDOW);
		}
		printSizes();
	}

	// The records are decoded from text into new objects, as records from the log are.
	private void measure(int keys, int answerWindows) {
		this.offset = 0;
		Duration window = BETWEEN_CALLS.multipliedBy(keys);
		long before = usedBytes();
		KeyTable table = new KeyTable(window.dividedBy(answerWindows));
		for (int call = 0; call < keys; call++) {
			call(table, call, window);
		}
		long bytesPerKey = (usedBytes() - before) / table.size();
		long foldNanos = 0;
		int batch = 1000;
		for (int start = 0; start < MEASURED_CALLS; start += batch) {
			List<LedgerRecord> records = new ArrayList<>();
			for (int call = 0; call < batch; call++) {
				long number = (long) keys + start + call;
				records.add(intent(number, window));
				records.add(outcome(number, this.offset + records.size() - 1));
			}
			long began = System.nanoTime();
			for (LedgerRecord record : records) {
				table.apply(this.offset, record, at(this.offset / 2));
				this.offset++;
			}
			foldNanos += System.nanoTime() - began;
		}
		System.out
			.println("keys " + table.size() + ", answers kept for 1/" + answerWindows + " of the window, bytes per key "
					+ bytesPerKey + ", nanoseconds per record folded " + foldNanos / (2L * MEASURED_CALLS));
	}

	private void call(KeyTable table, long number, Duration window) {
		table.apply(this.offset, intent(number, window), at(number));
		table.apply(this.offset + 1, outcome(number, this.offset), at(number));
		this.offset += 2;
	}

	private LedgerRecord intent(long number, Duration window) {
		RecordId id = RecordId.of(author(), 2 * number);
		return this.codec.decode(id, this.codec.encode(new LedgerRecord.Intent(id, author(), key(number),
				new BodyDigest("%064x".formatted(number * 7919)), window)));
	}

	private LedgerRecord outcome(long number, long claim) {
		RecordId id = RecordId.of(author(), 2 * number + 1);
		return this.codec.decode(id,
				this.codec.encode(new LedgerRecord.Outcome(id, author(), key(number), claim, ANSWER)));
	}

	private void printSizes() {
		System.out.println("bytes on the log, identifier included: intent " + bytes(intent(1, Duration.ofHours(1)))
				+ ", outcome " + bytes(outcome(1, 123_456)));
		printCheckpoint(1);
		printCheckpoint(WINDOWS_PER_KEY_WINDOW);
		long began = System.nanoTime();
		for (int call = 0; call < MEASURED_CALLS; call++) {
			LedgerRecord intent = intent(call, Duration.ofHours(1));
			if (intent instanceof LedgerRecord.Unrecognized) {
				throw new IllegalStateException("an intent must be readable: " + call);
			}
		}
		System.out.println(
				"nanoseconds to write and read the text of an intent " + (System.nanoTime() - began) / MEASURED_CALLS);
	}

	private void printCheckpoint(int answerWindows) {
		Duration window = BETWEEN_CALLS.multipliedBy(CHECKPOINT_KEYS);
		KeyTable table = new KeyTable(window.dividedBy(answerWindows));
		this.offset = 0;
		for (int call = 0; call < CHECKPOINT_KEYS; call++) {
			call(table, call, window);
		}
		long began = System.nanoTime();
		List<LedgerRecord.Checkpoint> parts = table.checkpoint(new RecordId("checkpoint"));
		long bytes = parts.stream().mapToLong(this::bytes).sum();
		long nanos = System.nanoTime() - began;
		System.out.println("key in a checkpoint of " + CHECKPOINT_KEYS + ", answers kept for 1/" + answerWindows
				+ " of the window: bytes " + bytes / CHECKPOINT_KEYS + ", nanoseconds to write "
				+ nanos / CHECKPOINT_KEYS);
	}

	private int bytes(LedgerRecord record) {
		return (record.id() + this.codec.encode(record)).getBytes(StandardCharsets.UTF_8).length;
	}

	private static Incarnation author() {
		return new Incarnation(new VmId("entry-mahebourg-1"), 0x1234_5678_9abc_def0L);
	}

	private static CallKey key(long number) {
		return new CallKey(new AccountName("skipper-cooperative"), new ServiceName("orders"),
				"3f2a91c0-8b1d-4c2e-9a77-%012x".formatted(number));
	}

	private static Instant at(long call) {
		return Instant.EPOCH.plus(BETWEEN_CALLS.multipliedBy(call));
	}

	private static long usedBytes() {
		for (int round = 0; round < 3; round++) {
			System.gc();
		}
		return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
	}

}
