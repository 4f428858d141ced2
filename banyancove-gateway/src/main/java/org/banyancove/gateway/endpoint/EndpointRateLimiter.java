package org.banyancove.gateway.endpoint;

import java.time.Duration;
import java.util.Objects;

import org.banyancove.core.EndpointId;
import org.jspecify.annotations.Nullable;

/**
 * Limits this gateway's requests to an endpoint to its share of the rate limit that the
 * endpoint declares.
 * <p>
 * A token bucket that starts empty, since the endpoint received requests until the limit
 * was declared. Times are nanoseconds of the monotonic clock.
 */
public final class EndpointRateLimiter {

	/**
	 * Minimum rate in requests per second: without any answer, no gateway would observe
	 * the end of the limit.
	 */
	private static final double MINIMUM_RATE = 0.25;

	/** Capacity of the bucket, in seconds of the share. */
	private static final double BURST_SECONDS = 0.5;

	/** Time without an answer after which the share moves to other gateways. */
	private static final Duration ROTATION_INTERVAL = Duration.ofSeconds(10);

	/** Time for which the end of a limit is reported to the other gateways. */
	private static final Duration END_REPORT_DURATION = Duration.ofSeconds(10);

	private final EndpointId endpoint;

	private final FleetAllocation allocation;

	private @Nullable Double limit;

	private @Nullable Long observedAt;

	private @Nullable Long endedAt;

	private double share;

	private double tokens;

	private long refilledAt;

	EndpointRateLimiter(EndpointId endpoint, FleetAllocation allocation) {
		this.endpoint = endpoint;
		this.allocation = allocation;
	}

	/**
	 * Records the limit declared by an answer to this or another gateway. An observation
	 * older than the latest one is ignored.
	 * @param requestsPerSecond the requests per second that the endpoint accepts from all
	 * gateways together, or {@code null} if it declares no limit
	 * @param at when the answer was received
	 * @param now the current time
	 * @return whether the limit changed
	 */
	public boolean observe(@Nullable Double requestsPerSecond, long at, long now) {
		if (this.observedAt != null && at < this.observedAt) {
			return false;
		}
		boolean changed = !Objects.equals(requestsPerSecond, this.limit);
		if (changed) {
			refill(now);
			this.endedAt = (requestsPerSecond != null) ? null : Long.valueOf(now);
		}
		if (this.limit == null) {
			this.share = 0;
		}
		this.limit = requestsPerSecond;
		this.observedAt = at;
		refill(now);
		return changed;
	}

	/**
	 * Returns the observation to report to the other gateways.
	 * @param now the current time
	 * @return the latest observation, or {@code null} if the endpoint declares no limit
	 * and none ended recently
	 */
	public @Nullable ObservedRateLimit observed(long now) {
		boolean recentlyEnded = this.endedAt != null && now - this.endedAt < END_REPORT_DURATION.toNanos();
		if (this.observedAt == null || (this.limit == null && !recentlyEnded)) {
			return null;
		}
		return new ObservedRateLimit(this.limit, Duration.ofNanos(Math.max(0, now - this.observedAt)));
	}

	/**
	 * Returns whether the limit permits a request now.
	 * @param now the current time
	 * @return whether a request may be sent
	 */
	boolean permits(long now) {
		refill(now);
		return this.limit == null || this.tokens >= 1;
	}

	/**
	 * Records that a request was sent.
	 * @param now the current time
	 */
	public void sent(long now) {
		refill(now);
		this.tokens = Math.max(0, this.tokens - 1);
	}

	/**
	 * Returns the time until the limit permits a request.
	 * @param now the current time
	 * @return the time, zero if a request may be sent now
	 */
	Duration retryAfter(long now) {
		if (this.limit == null || permits(now)) {
			return Duration.ZERO;
		}
		double seconds = (this.share > 0) ? (1 - this.tokens) / this.share : 1 / effectiveRate(this.limit);
		return Duration.ofNanos((long) (seconds * 1e9));
	}

	private static double effectiveRate(double requestsPerSecond) {
		return Math.max(MINIMUM_RATE, requestsPerSecond);
	}

	private void refill(long now) {
		if (this.limit == null || this.observedAt == null) {
			return;
		}
		long rotation = Math.max(0, now - this.observedAt) / ROTATION_INTERVAL.toNanos();
		double newShare = this.allocation.share(this.endpoint, effectiveRate(this.limit), rotation);
		if (this.share == 0 || newShare == 0) {
			this.tokens = 0;
			this.refilledAt = now;
		}
		this.share = newShare;
		double capacity = Math.max(1, newShare * BURST_SECONDS);
		this.tokens = Math.min(capacity, this.tokens + newShare * (now - this.refilledAt) / 1e9);
		this.refilledAt = now;
	}

}
