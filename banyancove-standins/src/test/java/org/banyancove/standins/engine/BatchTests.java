package org.banyancove.standins.engine;

import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class BatchTests {

	private final Batch batch = new Batch(1);

	private final BlockingQueue<Integer> admitted = new LinkedBlockingQueue<>();

	@Test
	void admitsHighestPriorityFirst() throws Exception {
		this.batch.acquireSlot(0);
		for (int priority : List.of(2, 0, 1)) {
			Thread.startVirtualThread(() -> acquireSlot(priority));
		}
		while (this.batch.queued() < 3) {
			Thread.onSpinWait();
		}
		for (int priority : List.of(0, 1, 2)) {
			this.batch.releaseSlot();
			assertThat(this.admitted.take()).isEqualTo(priority);
		}
		assertThat(this.batch.running()).isEqualTo(1);
	}

	private void acquireSlot(int priority) {
		try {
			this.batch.acquireSlot(priority);
			this.admitted.add(priority);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
