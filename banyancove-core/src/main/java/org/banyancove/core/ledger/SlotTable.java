package org.banyancove.core.ledger;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * This process's views of all slots.
 */
final class SlotTable {

	private final List<SlotView> views = new ArrayList<>();

	SlotTable(ClaimSettings settings, RandomGenerator random) {
		for (int index = 0; index < settings.slots(); index++) {
			this.views.add(new SlotView(new KeySlot(index), new KeyTable(settings.answerWindow()),
					new CheckpointSchedule(settings.checkpointInterval(), random)));
		}
	}

	KeySlot slot(CallKey key) {
		return KeySlot.of(key, this.views.size());
	}

	SlotView view(KeySlot slot) {
		return this.views.get(slot.index());
	}

	KeyTable table(KeySlot slot) {
		return view(slot).table();
	}

	List<SlotView> views() {
		return this.views;
	}

	boolean complete() {
		return this.views.stream().allMatch((view) -> view.table().complete());
	}

}
