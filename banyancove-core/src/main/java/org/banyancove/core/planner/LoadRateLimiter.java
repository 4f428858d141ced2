package org.banyancove.core.planner;

import java.time.Duration;
import java.time.Instant;

/**
 * A token bucket that limits weight loads to the weight store's rate, and pauses them
 * when the store refuses a load. Used by one thread.
 */
final class LoadRateLimiter {

	private static final double NANOS_PER_SECOND = 1e9;

	private final double loadsPerSecond;

	private final double burst;

	private double availableLoads;

	private Instant refilledAt;

	private Instant pausedUntil = Instant.MIN;

	LoadRateLimiter(double loadsPerSecond, double burst, Instant now) {
		this.loadsPerSecond = loadsPerSecond;
		this.burst = burst;
		this.refilledAt = now;
	}

	// An order may need more loads than the burst. It is then sent when the bucket is
	// full and leaves a negative balance, so that the average rate is kept.
	boolean tryAcquire(int loads, Instant now) {
		double seconds = Duration.between(this.refilledAt, now).toNanos() / NANOS_PER_SECOND;
		this.availableLoads = Math.min(this.burst, this.availableLoads + seconds * this.loadsPerSecond);
		this.refilledAt = now;
		if (now.isBefore(this.pausedUntil) || this.availableLoads < Math.min(loads, this.burst)) {
			return false;
		}
		this.availableLoads -= loads;
		return true;
	}

	void pause(Instant now, Duration retryAfter) {
		this.pausedUntil = now.plus(retryAfter);
	}

}
