package org.banyancove.gateway.endpoint;

import java.time.Duration;

import org.jspecify.annotations.Nullable;

/**
 * The time for which an endpoint asked this gateway to send no requests.
 * <p>
 * Unlike the backoff after failures, it does not end with an answer to an earlier
 * request. Times are nanoseconds of the monotonic clock.
 */
public final class EndpointPause {

	/** Bounds the effect of a pause that an endpoint requested by mistake. */
	private static final Duration MAXIMUM_DURATION = Duration.ofHours(1);

	/**
	 * The share of a pause over which the callers that were rejected during it return.
	 */
	static final int RETURN_SPREAD_DIVISOR = 4;

	private long startedAt;

	private @Nullable Long until;

	/**
	 * Starts or extends the pause. A shorter request does not end it earlier.
	 * @param duration the time for which to send no requests
	 * @param now the current time
	 * @return whether there was no pause before
	 */
	public boolean request(Duration duration, long now) {
		boolean started = remaining(now).isZero();
		if (started) {
			this.startedAt = now;
		}
		Duration bounded = (duration.compareTo(MAXIMUM_DURATION) < 0) ? duration : MAXIMUM_DURATION;
		long end = now + bounded.toNanos();
		if (this.until == null || end > this.until) {
			this.until = end;
		}
		return started;
	}

	/**
	 * Returns the rest of the pause.
	 * @param now the current time
	 * @return the time, zero if requests may be sent
	 */
	public Duration remaining(long now) {
		return (this.until != null) ? Duration.ofNanos(Math.max(0, this.until - now)) : Duration.ZERO;
	}

	/**
	 * Returns the time after which a caller that is rejected now may retry. Callers that
	 * were rejected first return first, and not all of them at the end of the pause,
	 * which would overload the endpoint again.
	 * @param now the current time
	 * @return the time, zero if requests may be sent
	 */
	Duration retryAfter(long now) {
		Duration remaining = remaining(now);
		return remaining.isZero() ? remaining : remaining.plusNanos((now - this.startedAt) / RETURN_SPREAD_DIVISOR);
	}

}
