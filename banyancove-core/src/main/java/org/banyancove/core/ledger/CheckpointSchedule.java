package org.banyancove.core.ledger;

import java.time.Duration;
import java.time.Instant;
import java.util.random.RandomGenerator;

/**
 * Determines when a reader of a slot writes a checkpoint.
 * <p>
 * A checkpoint becomes due for all readers at the same time. Each reader first waits for
 * a random delay, after which most readers find that another one has written the
 * checkpoint. Duplicate checkpoints are harmless.
 */
final class CheckpointSchedule {

	private static final int MINIMUM_DELAYS_PER_INTERVAL = 8;

	private final Duration interval;

	private final RandomGenerator random;

	private Instant notBefore = Instant.MIN;

	CheckpointSchedule(Duration interval, RandomGenerator random) {
		this.interval = interval;
		this.random = random;
	}

	/**
	 * Returns whether to write a checkpoint now. If so, assumes that the caller writes
	 * it.
	 * @param table the slot's table
	 * @param now the local time, which only affects when a checkpoint is written
	 * @return {@code true} if a checkpoint must be written
	 */
	boolean due(KeyTable table, Instant now) {
		if (!table.complete() || table.nextOffset() == 0 || now.isBefore(this.notBefore)) {
			return false;
		}
		Instant due = table.checkpointAt().plus(this.interval);
		if (now.isBefore(due)) {
			return false;
		}
		boolean delayElapsed = !this.notBefore.isBefore(due);
		this.notBefore = now.plus(randomDelay());
		return delayElapsed;
	}

	private Duration randomDelay() {
		Duration minimumDelay = this.interval.dividedBy(MINIMUM_DELAYS_PER_INTERVAL);
		return minimumDelay.plusNanos((long) (minimumDelay.toNanos() * this.random.nextDouble()));
	}

}
