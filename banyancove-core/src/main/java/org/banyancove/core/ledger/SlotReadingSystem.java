package org.banyancove.core.ledger;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import org.banyancove.core.Incarnation;
import org.banyancove.core.error.ErrorKind;

/**
 * Applies records read from the slots, and evaluates each affected key that this process
 * is processing or claims.
 */
final class SlotReadingSystem {

	private final Incarnation self;

	private final ClaimSettings settings;

	private final SlotTable slots;

	private final PendingKeyTable pendingKeys;

	private final AppendQueue appends;

	private final ClaimAnswerSystem answers;

	private final IntentSystem intents;

	private final KeyResolutionSystem resolution;

	SlotReadingSystem(Incarnation self, ClaimSettings settings, SlotTable slots, PendingKeyTable pendingKeys,
			AppendQueue appends, ClaimAnswerSystem answers, IntentSystem intents, KeyResolutionSystem resolution) {
		this.self = self;
		this.settings = settings;
		this.slots = slots;
		this.pendingKeys = pendingKeys;
		this.appends = appends;
		this.answers = answers;
		this.intents = intents;
		this.resolution = resolution;
	}

	void recordsRead(KeySlot slot, long firstRetained, long endOffset, List<LoggedRecord> records) {
		KeyTable table = this.slots.table(slot);
		if (endOffset < table.nextOffset()) {
			return;
		}
		boolean wasComplete = table.complete();
		Set<CallKey> affectedKeys = new LinkedHashSet<>();
		table.trimmed(firstRetained);
		if (firstRetained == endOffset && this.settings.retentionCoversKeys()) {
			table.emptied(endOffset);
		}
		boolean lost = wasComplete && !table.complete();
		for (LoggedRecord logged : records) {
			if (logged.offset() < table.nextOffset()) {
				continue;
			}
			boolean completeBefore = table.complete();
			table.apply(logged.offset(), logged.record(), logged.appendedAt());
			lost |= completeBefore && !table.complete();
			recordRead(slot, logged, affectedKeys);
		}
		if (lost) {
			dropPendingIntents(slot);
		}
		if (table.complete() && (lost || !wasComplete)) {
			addAllKeys(slot, affectedKeys);
		}
		affectedKeys.forEach(this.resolution::evaluate);
	}

	void restore(KeySlot slot, List<LedgerRecord.Checkpoint> parts) {
		KeyTable table = this.slots.table(slot);
		if (table.complete()) {
			return;
		}
		table.restore(parts);
		if (table.complete()) {
			Set<CallKey> affectedKeys = new LinkedHashSet<>();
			addAllKeys(slot, affectedKeys);
			affectedKeys.forEach(this.resolution::evaluate);
		}
	}

	private void recordRead(KeySlot slot, LoggedRecord logged, Set<CallKey> affectedKeys) {
		switch (logged.record()) {
			case LedgerRecord.Intent intent -> {
				this.intents.read(slot, logged.offset(), intent);
				if (intent.author().equals(this.self) || this.pendingKeys.contains(intent.key())) {
					affectedKeys.add(intent.key());
				}
			}
			case LedgerRecord.ClaimantRecord record -> {
				this.appends.confirm(slot, record.id());
				boolean received = record instanceof LedgerRecord.HandedOver handedOver
						&& handedOver.receiver().equals(this.self);
				if (received) {
					this.pendingKeys.getOrCreate(record.key()).handoverOffset(logged.offset());
				}
				if (received || this.pendingKeys.contains(record.key())) {
					affectedKeys.add(record.key());
				}
			}
			case LedgerRecord.Checkpoint _, LedgerRecord.Unrecognized _ -> {
			}
		}
	}

	private void addAllKeys(KeySlot slot, Set<CallKey> affectedKeys) {
		this.pendingKeys.all(slot).stream().map(KeyWork::key).forEach(affectedKeys::add);
		this.slots.table(slot)
			.states()
			.stream()
			.filter((state) -> state.claimant().equals(this.self) && !state.ended())
			.map(KeyState::key)
			.forEach(affectedKeys::add);
	}

	// After a gap it is unknown whether an intent of this process won, and a later
	// checkpoint may show it as winning although other processes saw it lose. Such
	// intents are therefore never dispatched.
	private void dropPendingIntents(KeySlot slot) {
		for (KeyWork pendingKey : this.pendingKeys.all(slot)) {
			pendingKey.handoverOffset(-1);
			if (pendingKey.pendingIntent() != null) {
				this.intents.drop(pendingKey);
				this.answers.refuseWaiting(pendingKey, ErrorKind.LOG_UNREACHABLE);
			}
			this.pendingKeys.discardIfIdle(pendingKey);
		}
	}

}
