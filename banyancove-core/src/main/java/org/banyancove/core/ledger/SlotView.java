package org.banyancove.core.ledger;

import java.time.Instant;

/**
 * This process's view of a slot.
 */
final class SlotView {

	private final KeySlot slot;

	private final KeyTable table;

	private final CheckpointSchedule checkpoints;

	private Instant unreachableUntil = Instant.MIN;

	SlotView(KeySlot slot, KeyTable table, CheckpointSchedule checkpoints) {
		this.slot = slot;
		this.table = table;
		this.checkpoints = checkpoints;
	}

	KeySlot slot() {
		return this.slot;
	}

	KeyTable table() {
		return this.table;
	}

	boolean checkpointDue(Instant now) {
		return this.checkpoints.due(this.table, now);
	}

	// Whether an intent timed out recently, so that no other intent is appended yet.
	boolean unreachable(Instant now) {
		return now.isBefore(this.unreachableUntil);
	}

	void unreachableUntil(Instant time) {
		this.unreachableUntil = time;
	}

	void reached() {
		this.unreachableUntil = Instant.MIN;
	}

}
