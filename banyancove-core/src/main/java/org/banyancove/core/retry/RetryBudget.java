package org.banyancove.core.retry;

import org.banyancove.core.Invariant;

/**
 * How many retries a service may still make: a part of one for each first attempt.
 * <p>
 * When endpoints fail because they are overloaded, retries add to the load that makes
 * them fail. The budget ties retries to first attempts, so that the load is at most
 * {@code 1 + ratio} times what the callers send, plus the small reserve. Belongs to the
 * tick loop; not safe for use by several threads.
 */
public final class RetryBudget {

	/** Lets the first requests after a start be retried. */
	private static final double RESERVE = 3;

	/** Saved retries go out at once when a zone fails; more would be a burst of load. */
	private static final double MOST_SAVED = 50;

	private double ratio;

	private double mostSaved;

	private double tokens;

	private long firstAttempts;

	private double earned;

	private long retries;

	/**
	 * Creates the budget.
	 * @param ratio the retries for each first attempt, from 0 to 1
	 * @throws IllegalArgumentException if {@code ratio} is out of its range
	 */
	public RetryBudget(double ratio) {
		this(ratio, RESERVE, MOST_SAVED);
	}

	/**
	 * Creates the budget with a reserve of its own.
	 * @param ratio the retries for each first attempt, from 0 to 1
	 * @param reserve the retries that can be made before any first attempt
	 * @param mostSaved the most retries that can be saved up
	 * @throws IllegalArgumentException if {@code ratio} is out of its range
	 */
	public RetryBudget(double ratio, double reserve, double mostSaved) {
		this.ratio = checked(ratio);
		this.mostSaved = mostSaved;
		this.tokens = reserve;
		this.earned = reserve;
	}

	/**
	 * Changes the most retries that can be saved up; what was saved beyond it is lost.
	 * @param newMost the most retries
	 */
	public void changeMostSaved(double newMost) {
		this.mostSaved = newMost;
		this.tokens = Math.min(this.tokens, newMost);
	}

	/**
	 * Changes the ratio for attempts from now on.
	 * @param newRatio the retries for each first attempt, from 0 to 1
	 */
	public void changeRatio(double newRatio) {
		this.ratio = checked(newRatio);
	}

	/**
	 * Notes a first attempt, which earns a part of a retry.
	 */
	public void firstAttempt() {
		this.firstAttempts++;
		this.earned += this.ratio;
		this.tokens = Math.min(this.mostSaved, this.tokens + this.ratio);
	}

	/**
	 * Takes one retry out of the budget.
	 * @return whether the budget had one; if not, the request is given up
	 */
	public boolean tryRetry() {
		if (this.tokens < 1) {
			return false;
		}
		this.tokens--;
		this.retries++;
		Invariant.check(this.retries <= this.earned + 1e-6, "%s retries after %s first attempts, which earned %s",
				this.retries, this.firstAttempts, this.earned);
		return true;
	}

	/**
	 * Returns the retries that can be made at once.
	 * @return the retries left, with fractions
	 */
	public double left() {
		return this.tokens;
	}

	/**
	 * Returns the first attempts noted.
	 * @return the number of first attempts
	 */
	public long firstAttempts() {
		return this.firstAttempts;
	}

	/**
	 * Returns the retries made.
	 * @return the number of retries
	 */
	public long retries() {
		return this.retries;
	}

	private static double checked(double ratio) {
		if (!(ratio >= 0 && ratio <= 1)) {
			throw new IllegalArgumentException("ratio must be from 0 to 1: " + ratio);
		}
		return ratio;
	}

}
