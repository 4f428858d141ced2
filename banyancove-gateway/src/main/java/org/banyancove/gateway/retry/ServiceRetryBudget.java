package org.banyancove.gateway.retry;

import java.time.Duration;
import java.util.function.DoubleSupplier;

/**
 * The part of a service's retry budget that one gateway may spend.
 * <p>
 * Retries are earned, by each request of this gateway and by its share of the burst over
 * time, and expire. A process begins with none. In any window, all gateways together can
 * spend no more than they have earned within it or shortly before, whichever gateways
 * start, end or do not hear each other. Times are in nanoseconds of the monotonic clock.
 */
public final class ServiceRetryBudget {

	/**
	 * The fraction of the ratio that requests earn. A window can see what is earned
	 * within it and what was still valid at its start; the remainder covers traffic that
	 * varies.
	 */
	private static final double REQUEST_SHARE = 0.6;

	/** The validity of retries that requests earn, in windows. */
	private static final double REQUEST_VALIDITY = 0.5;

	/**
	 * The fraction of the burst that is earned in a window. With the validity, a window
	 * can see three times as much.
	 */
	private static final double BURST_SHARE = 0.3;

	/**
	 * The validity of retries that are earned over time, in windows: a gateway with few
	 * requests has few failures, and needs them to find a retry.
	 */
	private static final double BURST_VALIDITY = 2;

	/**
	 * Time between two accruals above which the process stood still, which earns nothing.
	 */
	private static final Duration MAXIMUM_ACCRUAL_INTERVAL = Duration.ofMillis(500);

	private final RetryLimits limits;

	private final ExpiringCredit earnedByRequests;

	private final ExpiringCredit earnedOverTime;

	private long accruedAt;

	private long granted;

	/**
	 * Creates a budget without retries.
	 * @param limits the limits of the fleet
	 * @param random supplies random numbers from 0 to below 1
	 * @param now the current time
	 */
	ServiceRetryBudget(RetryLimits limits, DoubleSupplier random, long now) {
		this.limits = limits;
		this.earnedByRequests = new ExpiringCredit(windows(REQUEST_VALIDITY), random.getAsDouble(), now);
		this.earnedOverTime = new ExpiringCredit(windows(BURST_VALIDITY), random.getAsDouble(), now);
		this.accruedAt = now;
	}

	private Duration windows(double number) {
		return Duration.ofNanos((long) (this.limits.window().toNanos() * number));
	}

	/**
	 * Records a request, which earns a fraction of a retry.
	 * @param now the current time
	 */
	void recordRequest(long now) {
		this.earnedByRequests.earn(this.limits.ratio() * REQUEST_SHARE, now);
	}

	/**
	 * Earns the share of the burst for the time since the last call.
	 * @param gateways the number of gateways that share the burst, or 0 if it is unknown
	 * @param now the current time
	 */
	void accrueBurst(int gateways, long now) {
		long elapsed = now - this.accruedAt;
		this.accruedAt = now;
		if (gateways > 0 && elapsed <= MAXIMUM_ACCRUAL_INTERVAL.toNanos()) {
			double share = this.limits.burst() * BURST_SHARE / gateways;
			this.earnedOverTime.earn(share * elapsed / this.limits.window().toNanos(), now);
		}
	}

	/**
	 * Takes a retry.
	 * @param now the current time
	 * @return whether one was available
	 */
	boolean tryAcquire(long now) {
		boolean acquired = this.earnedByRequests.spend(now) || this.earnedOverTime.spend(now);
		this.granted += acquired ? 1 : 0;
		return acquired;
	}

	/**
	 * Returns a retry that was not sent.
	 * @param now the current time
	 */
	void release(long now) {
		this.earnedByRequests.giveBack(now);
		this.granted--;
	}

	/**
	 * Returns the number of retries that are available.
	 * @param now the current time
	 * @return the number
	 */
	public int available(long now) {
		return this.earnedByRequests.available(now) + this.earnedOverTime.available(now);
	}

	/**
	 * Returns the number of retries granted since the process started.
	 * @return the number
	 */
	public long granted() {
		return this.granted;
	}

}
