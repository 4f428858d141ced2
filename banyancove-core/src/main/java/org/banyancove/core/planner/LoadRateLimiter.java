package org.banyancove.core.planner;

import java.time.Duration;
import java.time.Instant;

/**
 * How many weight loads may begin: the weight store's rate, and its own word when it
 * refuses. Used by one thread.
 */
final class LoadRate {

	private static final double NANOS_PER_SECOND = 1e9;

	private final double loadsPerSecond;

	private final double burst;

	private double allowance;

	private Instant allowanceAt;

	private Instant pausedUntil = Instant.MIN;

	LoadRate(double loadsPerSecond, double burst, Instant now) {
		this.loadsPerSecond = loadsPerSecond;
		this.burst = burst;
		this.allowanceAt = now;
	}

	// An order may need more loads than the burst: it then goes once the allowance is
	// full, and leaves it in debt, so that the rate holds in the mean.
	boolean take(int loads, Instant now) {
		double seconds = Duration.between(this.allowanceAt, now).toNanos() / NANOS_PER_SECOND;
		this.allowance = Math.min(this.burst, this.allowance + seconds * this.loadsPerSecond);
		this.allowanceAt = now;
		if (now.isBefore(this.pausedUntil) || this.allowance < Math.min(loads, this.burst)) {
			return false;
		}
		this.allowance -= loads;
		return true;
	}

	void refused(Instant now, Duration retryAfter) {
		this.pausedUntil = now.plus(retryAfter);
	}

}
