package org.banyancove.standins.support;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/**
 * A token bucket rate limiter with a burst of a tenth of a second, but at least one
 * permit. This class is thread-safe.
 */
public final class RateLimiter {

	private static final double BURST_SECONDS = 0.1;

	private static final double NANOS_PER_SECOND = 1e9;

	private final double perSecond;

	private final InstantSource clock;

	private double available;

	private Instant refilledAt;

	/**
	 * Creates the rate limiter.
	 * @param perSecond the permits per second
	 * @param clock the clock
	 */
	public RateLimiter(double perSecond, InstantSource clock) {
		this.perSecond = perSecond;
		this.clock = clock;
		this.available = burst();
		this.refilledAt = clock.instant();
	}

	/**
	 * Acquires a permit if one is available; does not block.
	 * @return zero if a permit was acquired, otherwise the time until one is available
	 */
	public synchronized Duration acquire() {
		Instant now = this.clock.instant();
		double elapsed = Duration.between(this.refilledAt, now).toNanos() / NANOS_PER_SECOND;
		this.available = Math.min(burst(), this.available + elapsed * this.perSecond);
		this.refilledAt = now;
		if (this.available >= 1) {
			this.available -= 1;
			return Duration.ZERO;
		}
		return Duration.ofNanos((long) ((1 - this.available) / this.perSecond * NANOS_PER_SECOND));
	}

	private double burst() {
		return Math.max(1, this.perSecond * BURST_SECONDS);
	}

}
