package org.banyancove.core.retry;

import org.banyancove.core.Invariant;

/**
 * The retry budget of a service: each first attempt earns a fraction of a retry.
 * <p>
 * When endpoints fail due to overload, retries increase that load. The budget bounds
 * retries in proportion to first attempts, so that the load is at most {@code 1 + ratio}
 * times the load of the callers, plus the small reserve. Confined to the tick loop; not
 * thread-safe.
 */
public final class RetryBudget {

	/** Allows retries of the first requests after a start. */
	private static final double INITIAL_RETRIES = 3;

	/**
	 * Available retries are all used immediately when a zone fails; a higher bound would
	 * allow a burst of load.
	 */
	private static final double MAXIMUM_AVAILABLE_RETRIES = 50;

	private double ratio;

	private double maximumAvailable;

	private double available;

	private long firstAttempts;

	private double earned;

	private long retries;

	/**
	 * Creates the budget.
	 * @param ratio the retries for each first attempt, from 0 to 1
	 * @throws IllegalArgumentException if {@code ratio} is out of its range
	 */
	public RetryBudget(double ratio) {
		this(ratio, INITIAL_RETRIES, MAXIMUM_AVAILABLE_RETRIES);
	}

	/**
	 * Creates the budget with the given reserve.
	 * @param ratio the retries for each first attempt, from 0 to 1
	 * @param reserve the number of retries available before the first attempt
	 * @param maximumAvailable the maximum number of available retries
	 * @throws IllegalArgumentException if {@code ratio} is out of its range
	 */
	public RetryBudget(double ratio, double reserve, double maximumAvailable) {
		this.ratio = requireRatio(ratio);
		this.maximumAvailable = maximumAvailable;
		this.available = reserve;
		this.earned = reserve;
	}

	/**
	 * Changes the maximum number of available retries; retries beyond it are discarded.
	 * @param newMaximum the maximum number of retries
	 */
	public void changeMaximumAvailable(double newMaximum) {
		this.maximumAvailable = newMaximum;
		this.available = Math.min(this.available, newMaximum);
	}

	/**
	 * Changes the ratio for subsequent attempts.
	 * @param newRatio the retries for each first attempt, from 0 to 1
	 */
	public void changeRatio(double newRatio) {
		this.ratio = requireRatio(newRatio);
	}

	/**
	 * Records a first attempt, which earns a fraction of a retry.
	 */
	public void firstAttempt() {
		this.firstAttempts++;
		this.earned += this.ratio;
		this.available = Math.min(this.maximumAvailable, this.available + this.ratio);
	}

	/**
	 * Consumes one retry if available.
	 * @return {@code true} if a retry was available; otherwise the request must not be
	 * retried
	 */
	public boolean tryRetry() {
		if (this.available < 1) {
			return false;
		}
		this.available--;
		this.retries++;
		Invariant.check(this.retries <= this.earned + 1e-6, "%s retries after %s first attempts, which earned %s",
				this.retries, this.firstAttempts, this.earned);
		return true;
	}

	/**
	 * Returns the number of available retries.
	 * @return the number of retries, possibly fractional
	 */
	public double available() {
		return this.available;
	}

	/**
	 * Returns the number of recorded first attempts.
	 * @return the number of first attempts
	 */
	public long firstAttempts() {
		return this.firstAttempts;
	}

	/**
	 * Returns the number of consumed retries.
	 * @return the number of retries
	 */
	public long retries() {
		return this.retries;
	}

	private static double requireRatio(double ratio) {
		if (!(ratio >= 0 && ratio <= 1)) {
			throw new IllegalArgumentException("ratio must be from 0 to 1: " + ratio);
		}
		return ratio;
	}

}
