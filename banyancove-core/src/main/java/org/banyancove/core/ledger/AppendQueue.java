package org.banyancove.core.ledger;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;

/**
 * The queue of records to append to the log, batched by slot and rate-limited across all
 * slots.
 * <p>
 * An intent is sent once, since its outcome is determined by reading the log. All other
 * records are sent until they are confirmed to be on the log; duplicates have no effect.
 */
final class AppendQueue {

	private static final double NANOS_PER_SECOND = 1e9;

	private final ClaimSettings settings;

	private final InstantSource clock;

	private final ClaimPort port;

	private final List<SlotQueue> slots = new ArrayList<>();

	private final LinkedHashMap<AppendId, InFlightAppend> inFlight = new LinkedHashMap<>();

	private final Map<RecordId, LedgerRecord.ClaimantRecord> unconfirmed = new LinkedHashMap<>();

	private final Set<RecordId> pendingIntents = new HashSet<>();

	private long nextAppend;

	private double availableAppends;

	private Instant refilledAt;

	AppendQueue(ClaimSettings settings, InstantSource clock, ClaimPort port) {
		this.settings = settings;
		this.clock = clock;
		this.port = port;
		this.availableAppends = settings.slots();
		this.refilledAt = clock.instant();
		for (int index = 0; index < settings.slots(); index++) {
			this.slots.add(new SlotQueue(new KeySlot(index)));
		}
	}

	void addIntent(KeySlot slot, LedgerRecord.Intent intent) {
		this.pendingIntents.add(intent.id());
		slotQueue(slot).add(intent, this.clock.instant());
	}

	void add(KeySlot slot, LedgerRecord.ClaimantRecord record) {
		if (this.unconfirmed.putIfAbsent(record.id(), record) == null) {
			slotQueue(slot).add(record, this.clock.instant());
		}
	}

	// Cancels an intent that has not been sent yet. An intent that was already sent may
	// still reach the log.
	void cancel(KeySlot slot, RecordId intent) {
		this.pendingIntents.remove(intent);
		slotQueue(slot).waiting.remove(intent);
	}

	// Returns whether an intent is queued and has not been sent yet.
	boolean isQueued(KeySlot slot, RecordId intent) {
		return slotQueue(slot).waiting.containsKey(intent);
	}

	void confirm(KeySlot slot, RecordId record) {
		if (this.unconfirmed.remove(record) != null) {
			slotQueue(slot).waiting.remove(record);
		}
	}

	// Sends the parts of a checkpoint, which must be in a single append.
	void sendCheckpoint(KeySlot slot, List<LedgerRecord> parts) {
		send(slotQueue(slot), parts);
	}

	// Handles the result of an append and returns its records.
	List<LedgerRecord> answered(AppendId append, AppendResult result) {
		InFlightAppend sent = this.inFlight.remove(append);
		if (sent == null) {
			return List.of();
		}
		SlotQueue queue = slotQueue(sent.slot());
		queue.inFlight--;
		switch (result) {
			case AppendResult.Appended _ -> sent.records().forEach((record) -> markAppended(record.id()));
			case AppendResult.Refused refused -> {
				queue.pauseUntil(this.clock.instant().plus(refused.retryAfter()));
				requeue(queue, sent);
			}
			case AppendResult.Unanswered _ -> {
				queue.pauseUntil(this.clock.instant().plus(this.settings.retryAfter()));
				resendUnconfirmed(queue, sent);
			}
		}
		return sent.records();
	}

	Collection<LedgerRecord.ClaimantRecord> unconfirmed() {
		return this.unconfirmed.values();
	}

	// Checkpoints in flight are not considered: if one is lost, another reader writes a
	// checkpoint.
	boolean idle() {
		return this.unconfirmed.isEmpty() && this.inFlight.values().stream().noneMatch(InFlightAppend::containsIntent);
	}

	void tick() {
		Instant now = this.clock.instant();
		expireUnanswered(now);
		refill(now);
		while (this.availableAppends >= 1) {
			SlotQueue queue = nextDue(now);
			if (queue == null) {
				return;
			}
			this.availableAppends--;
			send(queue, queue.poll(this.settings.recordsPerAppend()));
		}
	}

	// Without this timeout, an adapter that never answers would block its slot
	// permanently.
	private void expireUnanswered(Instant now) {
		List<AppendId> timedOut = new ArrayList<>();
		for (Map.Entry<AppendId, InFlightAppend> entry : this.inFlight.entrySet()) {
			if (now.isBefore(entry.getValue().sentAt().plus(this.settings.appendTimeout()))) {
				break;
			}
			timedOut.add(entry.getKey());
		}
		timedOut.forEach((append) -> answered(append, new AppendResult.Unanswered()));
	}

	private void refill(Instant now) {
		double seconds = Duration.between(this.refilledAt, now).toNanos() / NANOS_PER_SECOND;
		double refilled = this.availableAppends + seconds * this.settings.appendsPerSecond();
		this.availableAppends = Math.min(this.settings.slots(), refilled);
		this.refilledAt = now;
	}

	private @Nullable SlotQueue nextDue(Instant now) {
		return this.slots.stream()
			.filter((queue) -> queue.due(now, this.settings))
			.min(Comparator.comparing(SlotQueue::oldestQueuedAt))
			.orElse(null);
	}

	private void send(SlotQueue queue, List<LedgerRecord> records) {
		AppendId append = new AppendId(this.nextAppend++);
		queue.inFlight++;
		this.inFlight.put(append, new InFlightAppend(queue.slot, records, this.clock.instant()));
		this.port.append(queue.slot, append, records);
	}

	private void markAppended(RecordId record) {
		this.unconfirmed.remove(record);
		this.pendingIntents.remove(record);
	}

	private void requeue(SlotQueue queue, InFlightAppend sent) {
		for (LedgerRecord record : sent.records().reversed()) {
			if (this.unconfirmed.containsKey(record.id()) || this.pendingIntents.contains(record.id())) {
				queue.requeue(record, sent.sentAt());
			}
		}
	}

	// An intent may have been appended although the answer was lost. Reading the log
	// resolves this; a second copy could only lose against the first.
	private void resendUnconfirmed(SlotQueue queue, InFlightAppend sent) {
		sent.records().forEach((record) -> this.pendingIntents.remove(record.id()));
		requeue(queue, sent);
	}

	private SlotQueue slotQueue(KeySlot slot) {
		return this.slots.get(slot.index());
	}

	/** An append without a result. */
	private record InFlightAppend(KeySlot slot, List<LedgerRecord> records, Instant sentAt) {

		boolean containsIntent() {
			return this.records.stream().anyMatch(LedgerRecord.Intent.class::isInstance);
		}

	}

	/** A record waiting to be sent. */
	private record QueuedRecord(LedgerRecord record, Instant queuedAt) {

	}

	/** The records of a slot waiting to be sent. */
	private static final class SlotQueue {

		private final KeySlot slot;

		private final LinkedHashMap<RecordId, QueuedRecord> waiting = new LinkedHashMap<>();

		private int inFlight;

		private Instant pausedUntil = Instant.MIN;

		SlotQueue(KeySlot slot) {
			this.slot = slot;
		}

		void add(LedgerRecord record, Instant queuedAt) {
			this.waiting.put(record.id(), new QueuedRecord(record, queuedAt));
		}

		void requeue(LedgerRecord record, Instant queuedAt) {
			this.waiting.putFirst(record.id(), new QueuedRecord(record, queuedAt));
		}

		void pauseUntil(Instant time) {
			this.pausedUntil = time;
		}

		Instant oldestQueuedAt() {
			return this.waiting.firstEntry().getValue().queuedAt();
		}

		boolean due(Instant now, ClaimSettings settings) {
			if (this.waiting.isEmpty() || this.inFlight >= settings.appendsInFlight()
					|| now.isBefore(this.pausedUntil)) {
				return false;
			}
			return this.waiting.size() >= settings.recordsPerAppend()
					|| !now.isBefore(oldestQueuedAt().plus(settings.batchWindow()));
		}

		List<LedgerRecord> poll(int limit) {
			List<LedgerRecord> records = new ArrayList<>();
			Iterator<QueuedRecord> iterator = this.waiting.values().iterator();
			while (iterator.hasNext() && records.size() < limit) {
				records.add(iterator.next().record());
				iterator.remove();
			}
			return records;
		}

	}

}
