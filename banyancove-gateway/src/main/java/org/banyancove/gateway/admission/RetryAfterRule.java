package org.banyancove.gateway.admission;

import java.time.Duration;

/**
 * Derives the times after which rejected callers may retry, so that a wave of them does
 * not return together.
 * <p>
 * The first caller returns when the work ahead of it is done. Each further one returns
 * later than the one before, by the time that the work of the one before takes.
 * <p>
 * Times are nanoseconds of the monotonic clock.
 */
public final class RetryAfterRule {

	/**
	 * Maximum spread, after which the times begin anew: callers that are told to wait
	 * longer give up.
	 */
	private static final long MAXIMUM_SPREAD_NANOS = AdmissionRule.MAXIMUM_RETRY_AFTER.toNanos();

	/** Minimum distance between two callers, which a shorter one would not separate. */
	private static final long MINIMUM_STEP_NANOS = 1_000_000;

	private boolean returning;

	private long nextReturnAt;

	/**
	 * Returns the time after which the next rejected caller may retry.
	 * @param untilDone the time until the work ahead of it is done
	 * @param workMillis the engine time that its request needs, in ms
	 * @param drainRate the engine time of the requests started per second, in ms; 0 if it
	 * is unknown, so that there is no spread
	 * @param now the current time
	 * @return the time, from the minimum of Retry-After to twice its maximum
	 * @throws IllegalArgumentException if {@code workMillis} or {@code drainRate} is
	 * negative
	 */
	public Duration next(Duration untilDone, double workMillis, double drainRate, long now) {
		checkNotNegative("workMillis", workMillis);
		checkNotNegative("drainRate", drainRate);
		Duration base = AdmissionRule.clampRetryAfter(untilDone);
		if (drainRate == 0) {
			return base;
		}
		long earliest = now + base.toNanos();
		long returnAt = (this.returning && this.nextReturnAt - earliest > 0) ? this.nextReturnAt : earliest;
		if (returnAt - earliest > MAXIMUM_SPREAD_NANOS) {
			returnAt = earliest;
		}
		this.returning = true;
		this.nextReturnAt = returnAt + Math.max(MINIMUM_STEP_NANOS, (long) (workMillis / drainRate * 1e9));
		return Duration.ofNanos(returnAt - now);
	}

	private static void checkNotNegative(String name, double value) {
		if (!(value >= 0)) {
			throw new IllegalArgumentException(name + " must not be negative: " + value);
		}
	}

}
