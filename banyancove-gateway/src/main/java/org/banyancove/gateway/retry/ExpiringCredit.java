package org.banyancove.gateway.retry;

import java.time.Duration;
import java.util.Arrays;

/**
 * Whole retries that are earned in fractions and expire a fixed time after they were
 * earned.
 * <p>
 * The fraction begins at random, so that the processes of a large fleet, which each earn
 * less than one retry, together have as many as they have earned. Retries are kept in
 * slots, which expire one after the other. Times are in nanoseconds of the monotonic
 * clock.
 */
final class ExpiringCredit {

	private static final int SLOTS = 10;

	private final int[] slots = new int[SLOTS];

	private final long slotNanos;

	private final long origin;

	private long newestSlot;

	private double fraction;

	/**
	 * Creates an account without a retry.
	 * @param validity the time after which a retry has expired
	 * @param initialFraction the fraction of a retry at the start, below 1
	 * @param now the current time
	 */
	ExpiringCredit(Duration validity, double initialFraction, long now) {
		this.slotNanos = validity.toNanos() / SLOTS;
		this.fraction = initialFraction;
		this.origin = now;
	}

	/**
	 * Earns a fraction of a retry, or several retries.
	 * @param amount the number of retries
	 * @param now the current time
	 */
	void earn(double amount, long now) {
		expire(now);
		this.fraction += amount;
		int whole = (int) this.fraction;
		this.fraction -= whole;
		this.slots[index(this.newestSlot)] += whole;
	}

	/**
	 * Returns the number of retries that have not expired.
	 * @param now the current time
	 * @return the number
	 */
	int available(long now) {
		expire(now);
		return Arrays.stream(this.slots).sum();
	}

	/**
	 * Spends the oldest retry.
	 * @param now the current time
	 * @return whether there was one
	 */
	boolean spend(long now) {
		expire(now);
		for (long slot = this.newestSlot + 1; slot <= this.newestSlot + SLOTS; slot++) {
			if (this.slots[index(slot)] > 0) {
				this.slots[index(slot)]--;
				return true;
			}
		}
		return false;
	}

	/**
	 * Gives back a retry that was not used. It expires next, so that it does not outlive
	 * the one that was spent.
	 * @param now the current time
	 */
	void giveBack(long now) {
		expire(now);
		this.slots[index(this.newestSlot + 1)]++;
	}

	private void expire(long now) {
		long currentSlot = (now - this.origin) / this.slotNanos;
		for (long slot = Math.max(this.newestSlot + 1, currentSlot - SLOTS + 1); slot <= currentSlot; slot++) {
			this.slots[index(slot)] = 0;
		}
		this.newestSlot = Math.max(this.newestSlot, currentSlot);
	}

	private static int index(long slot) {
		return (int) Math.floorMod(slot, (long) SLOTS);
	}

}
