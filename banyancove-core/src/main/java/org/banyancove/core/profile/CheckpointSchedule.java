package org.banyancove.core.profile;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.random.RandomGenerator;

import org.jspecify.annotations.Nullable;

/**
 * Decides when a reader appends a checkpoint of the profiles.
 * <p>
 * Retention removes checkpoints as well as changes, so a checkpoint is due periodically
 * while anything is published, also when nothing changes: otherwise a process without
 * peers that starts after the last record was removed would find no profile. Any reader
 * may write it; each waits for an additional random part of the interval, and the first
 * one makes the others' checkpoints unnecessary.
 * <p>
 * An age is the difference between the platform's time of the append and this clock. An
 * inaccurate clock only causes an unnecessary checkpoint or reduces the margin before
 * retention.
 */
public final class CheckpointSchedule {

	private final Duration interval;

	private final int maximumChanges;

	private final InstantSource clock;

	private final RandomGenerator random;

	private @Nullable Instant notBefore;

	/**
	 * Creates a schedule.
	 * @param interval the age of the last checkpoint at which the next one is due, at
	 * most a third of the retention
	 * @param maximumChanges the number of records after which a checkpoint is due in any
	 * case, which bounds the records that a new process reads
	 * @param clock the clock
	 * @param random the random generator for the delays of the readers
	 */
	public CheckpointSchedule(Duration interval, int maximumChanges, InstantSource clock, RandomGenerator random) {
		if (!interval.isPositive()) {
			throw new IllegalArgumentException("interval must be positive: " + interval);
		}
		this.interval = interval;
		this.maximumChanges = maximumChanges;
		this.clock = clock;
		this.random = random;
	}

	/**
	 * Returns the checkpoint to append now. Called about once per second; after a
	 * checkpoint was returned, the next is returned after half the interval at the
	 * earliest.
	 * @param view the view of the reader
	 * @return the checkpoint, or {@code null} while none is due
	 */
	public ProfileRecord.@Nullable ProfilesCheckpoint due(ProfileView view) {
		Instant now = this.clock.instant();
		if (!isDue(view, now)) {
			this.notBefore = null;
			return null;
		}
		if (this.notBefore == null) {
			this.notBefore = now.plus(randomDelay());
			return null;
		}
		if (now.isBefore(this.notBefore)) {
			return null;
		}
		this.notBefore = now.plus(this.interval.dividedBy(2));
		return new ProfileRecord.ProfilesCheckpoint(view.table().exportState());
	}

	private boolean isDue(ProfileView view, Instant now) {
		if (!view.isStarted() || view.hasGap() || view.table().profiles().isEmpty()) {
			return false;
		}
		CheckpointMark last = view.table().lastCheckpoint();
		return last == null || view.nextOffset() - last.offset() > this.maximumChanges
				|| !now.isBefore(last.appendedAt().plus(this.interval));
	}

	private Duration randomDelay() {
		return Duration.ofMillis(this.random.nextLong(this.interval.dividedBy(2).toMillis() + 1));
	}

}
