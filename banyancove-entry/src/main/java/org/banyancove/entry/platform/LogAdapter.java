package org.banyancove.entry.platform;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.ScheduledExecutorService;

import org.banyancove.core.entry.EntryEvent;
import org.banyancove.core.ledger.AppendId;
import org.banyancove.core.ledger.AppendResult;
import org.banyancove.core.ledger.KeySlot;
import org.banyancove.core.ledger.LedgerRecord;
import org.banyancove.core.ledger.LoggedRecord;
import org.banyancove.core.ledger.RecordId;
import org.banyancove.core.profile.ProfileRecord;
import org.banyancove.entry.EventSink;
import org.banyancove.platform.LogClient;
import org.banyancove.platform.LogPage;
import org.banyancove.platform.LogRecord;
import org.banyancove.platform.NewRecord;
import org.banyancove.platform.StreamReader;
import org.banyancove.platform.ledger.LedgerRecordCodec;
import org.banyancove.platform.profile.ProfileRecordCodec;
import org.banyancove.platform.profile.ProfileStream;
import org.jspecify.annotations.Nullable;

/**
 * Reads and appends the key slots and profiles on the platform's log for the tick loop.
 */
public final class LogAdapter {

	private final LogClient log;

	private final LedgerRecordCodec codec = new LedgerRecordCodec();

	private final ProfileRecordCodec profileCodec = new ProfileRecordCodec();

	private final EventSink events;

	private final Duration readWait;

	private final ScheduledExecutorService timer;

	private @Nullable StreamReader profilesReader;

	/**
	 * Creates the adapter.
	 * @param log the platform's log
	 * @param readWait the maximum time that a read waits at the log for new records
	 * @param timer schedules retries
	 * @param events the tick loop
	 */
	public LogAdapter(LogClient log, Duration readWait, ScheduledExecutorService timer, EventSink events) {
		this.log = log;
		this.readWait = readWait;
		this.timer = timer;
		this.events = events;
	}

	/**
	 * Starts to read all key slots.
	 * @param slots the number of slots
	 */
	public void readKeySlots(int slots) {
		for (int index = 0; index < slots; index++) {
			KeySlot slot = new KeySlot(index);
			new StreamReader(this.log, slot.streamName(), this.readWait, this.timer,
					(page) -> postKeyRecords(slot, page), (failure) -> {
					})
				.start();
		}
	}

	/**
	 * Starts to read the profiles stream.
	 * @param fromOffset the offset of the first record to read
	 */
	public void readProfiles(long fromOffset) {
		stopReadingProfiles();
		this.profilesReader = new StreamReader(this.log, ProfileStream.NAME, this.readWait, this.timer,
				this::postProfiles, (failure) -> {
				});
		this.profilesReader.start(fromOffset);
	}

	/**
	 * Stops reading the profiles stream.
	 */
	public void stopReadingProfiles() {
		if (this.profilesReader != null) {
			this.profilesReader.stop();
		}
	}

	/**
	 * Appends records to a slot; the result is posted to the tick loop.
	 * @param slot the slot
	 * @param append the identifier that the posted result carries
	 * @param records the records
	 */
	public void append(KeySlot slot, AppendId append, List<LedgerRecord> records) {
		List<NewRecord> encoded = records.stream()
			.map((record) -> new NewRecord(record.id().value(), this.codec.encode(record)))
			.toList();
		this.log.append(slot.streamName(), encoded)
			.thenAccept((result) -> this.events.post(new EntryEvent.AppendAnswered(append, convert(result))));
	}

	/**
	 * Appends a checkpoint to the profiles stream, without waiting for the result.
	 * @param checkpoint the checkpoint
	 */
	public void append(ProfileRecord.ProfilesCheckpoint checkpoint) {
		String id = "checkpoint-" + checkpoint.throughOffset() + "-" + UUID.randomUUID();
		this.log.append(ProfileStream.NAME, List.of(new NewRecord(id, this.profileCodec.encode(checkpoint))));
	}

	private void postKeyRecords(KeySlot slot, LogPage page) {
		List<LoggedRecord> records = new ArrayList<>();
		for (LogRecord record : page.records()) {
			LedgerRecord decoded = this.codec.decode(new RecordId(record.id()), record.data());
			records.add(new LoggedRecord(record.offset(), decoded, record.appendedAt()));
		}
		long nextOffset = page.records().isEmpty() ? page.endOffset() : page.records().getLast().offset() + 1;
		this.events.post(new EntryEvent.KeysRead(slot, page.firstRetained(), nextOffset, records));
	}

	private void postProfiles(LogPage page) {
		this.events.post(new EntryEvent.ProfilesRead(this.profileCodec.decode(page)));
	}

	private static AppendResult convert(org.banyancove.platform.AppendResult result) {
		return switch (result) {
			case org.banyancove.platform.AppendResult.Appended appended ->
				new AppendResult.Appended(appended.firstOffset(), appended.lastOffset());
			case org.banyancove.platform.AppendResult.Refused refused -> new AppendResult.Refused(refused.retryAfter());
			case org.banyancove.platform.AppendResult.Unanswered unanswered -> new AppendResult.Unanswered();
		};
	}

}
