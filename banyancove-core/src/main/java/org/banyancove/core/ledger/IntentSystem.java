package org.banyancove.core.ledger;

import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;

import org.banyancove.core.error.ErrorKind;
import org.banyancove.core.ledger.KeyWork.PendingIntent;

/**
 * Manages this process's intents from their creation until they are read back, lose
 * against another intent, or are dropped.
 */
final class IntentSystem {

	private final RecordSequence records;

	private final InstantSource clock;

	private final ClaimSettings settings;

	private final SlotTable slots;

	private final PendingKeyTable pendingKeys;

	private final AppendQueue appends;

	private final ClaimTimers timers;

	private final ClaimAnswerSystem answers;

	private final ShutdownState shutdown;

	private final Map<RecordId, PendingIntent> pendingIntents = new HashMap<>();

	IntentSystem(RecordSequence records, InstantSource clock, ClaimSettings settings, SlotTable slots,
			PendingKeyTable pendingKeys, AppendQueue appends, ClaimTimers timers, ClaimAnswerSystem answers,
			ShutdownState shutdown) {
		this.records = records;
		this.clock = clock;
		this.settings = settings;
		this.slots = slots;
		this.pendingKeys = pendingKeys;
		this.appends = appends;
		this.timers = timers;
		this.answers = answers;
		this.shutdown = shutdown;
	}

	// Appends an intent for an unclaimed key if a request is waiting for it.
	void claimIfRequested(KeyWork pendingKey) {
		pendingKey.claim(null);
		pendingKey.claimedElsewhere(false);
		clearIfRead(pendingKey);
		if (pendingKey.waiting().isEmpty() || pendingKey.pendingIntent() != null || this.shutdown.inProgress()) {
			return;
		}
		Instant now = this.clock.instant();
		if (this.slots.view(pendingKey.slot()).unreachable(now)) {
			this.answers.refuseWaiting(pendingKey, ErrorKind.LOG_UNREACHABLE);
			return;
		}
		ClaimRequest first = pendingKey.waiting().firstEntry().getValue();
		RecordId intent = this.records.next();
		PendingIntent pendingIntent = new PendingIntent(intent, pendingKey.key());
		pendingKey.pendingIntent(pendingIntent);
		this.pendingIntents.put(intent, pendingIntent);
		this.timers.add(now.plus(this.settings.appendTimeout()), new ClaimTimers.IntentTimeout(intent));
		this.appends.addIntent(pendingKey.slot(), new LedgerRecord.Intent(intent, this.records.author(),
				pendingKey.key(), first.digest(), this.settings.keyWindow()));
	}

	void acknowledged(LedgerRecord record) {
		PendingIntent pendingIntent = this.pendingIntents.get(record.id());
		if (pendingIntent != null) {
			pendingIntent.acknowledge();
			this.slots.view(this.slots.slot(pendingIntent.key())).reached();
		}
	}

	void read(KeySlot slot, long offset, LedgerRecord.Intent intent) {
		if (!intent.author().equals(this.records.author())) {
			return;
		}
		this.slots.view(slot).reached();
		PendingIntent pendingIntent = this.pendingIntents.remove(intent.id());
		if (pendingIntent != null) {
			pendingIntent.markRead(offset);
			this.appends.cancel(slot, intent.id());
		}
	}

	void clearIfRead(KeyWork pendingKey) {
		PendingIntent pendingIntent = pendingKey.pendingIntent();
		if (pendingIntent != null && pendingIntent.read()) {
			pendingKey.pendingIntent(null);
		}
	}

	// A dropped intent is never dispatched, even if it appears on the log later: only
	// this process could dispatch it, and it no longer has a matching pending intent.
	void drop(KeyWork pendingKey) {
		PendingIntent pendingIntent = pendingKey.pendingIntent();
		if (pendingIntent != null) {
			this.pendingIntents.remove(pendingIntent.intent());
			this.appends.cancel(pendingKey.slot(), pendingIntent.intent());
			pendingKey.pendingIntent(null);
		}
	}

	void dropUnsent(KeyWork pendingKey) {
		PendingIntent pendingIntent = pendingKey.pendingIntent();
		if (pendingIntent != null && this.appends.isQueued(pendingKey.slot(), pendingIntent.intent())) {
			drop(pendingKey);
		}
	}

	void timedOut(RecordId intent) {
		PendingIntent pendingIntent = this.pendingIntents.get(intent);
		if (pendingIntent == null || pendingIntent.acknowledged()) {
			return;
		}
		KeyWork pendingKey = this.pendingKeys.getOrCreate(pendingIntent.key());
		drop(pendingKey);
		Instant now = this.clock.instant();
		this.slots.view(pendingKey.slot()).unreachableUntil(now.plus(this.answers.jitteredRetryAfter()));
		if (!pendingKey.mayHaveRun()) {
			this.answers.refuseWaiting(pendingKey, ErrorKind.LOG_UNREACHABLE);
		}
		this.pendingKeys.discardIfIdle(pendingKey);
	}

}
