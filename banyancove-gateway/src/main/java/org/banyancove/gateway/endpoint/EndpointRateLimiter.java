package org.banyancove.gateway.endpoint;

import java.time.Duration;
import java.util.Objects;

import org.banyancove.core.EndpointId;
import org.jspecify.annotations.Nullable;

/**
 * Keeps this gateway's share of the rate limit that an endpoint names: a token bucket
 * that starts empty, since the endpoint has had requests until then.
 * <p>
 * Times are nanoseconds of the steady clock.
 */
public final class EndpointRateLimiter {

	/**
	 * Requests a second that are sent at least: without any answer nobody would see that
	 * the limit has ended.
	 */
	private static final double MINIMUM_RATE = 0.25;

	/** Seconds of the share that may be sent at once. */
	private static final double BURST_SECONDS = 0.5;

	/** Time without an answer after which other gateways get the share. */
	private static final Duration ROTATION_INTERVAL = Duration.ofSeconds(10);

	/** How long the end of a limit is reported to the other gateways. */
	private static final Duration REPORTED_END = Duration.ofSeconds(10);

	private final EndpointId endpoint;

	private final RateLimitAllotment allotment;

	private @Nullable Double limit;

	private @Nullable Long observedAt;

	private @Nullable Long endedAt;

	private double share;

	private double tokens;

	private long refilledAt;

	EndpointRateLimiter(EndpointId endpoint, RateLimitAllotment allotment) {
		this.endpoint = endpoint;
		this.allotment = allotment;
	}

	/**
	 * Records the limit that an answer named, to this or to another gateway. One that is
	 * older than the newest is passed over.
	 * @param requestsPerSecond the requests a second that the endpoint accepts from all
	 * gateways together, or {@code null} if it names no limit
	 * @param at when the answer was received
	 * @param now the present time
	 * @return whether the limit has changed
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
	 * Returns what the other gateways are to know.
	 * @param now the present time
	 * @return the newest observation, or {@code null} if the endpoint names no limit and
	 * has named none for a while
	 */
	public @Nullable ObservedRateLimit observed(long now) {
		boolean recentlyEnded = this.endedAt != null && now - this.endedAt < REPORTED_END.toNanos();
		if (this.observedAt == null || (this.limit == null && !recentlyEnded)) {
			return null;
		}
		return new ObservedRateLimit(this.limit, Duration.ofNanos(Math.max(0, now - this.observedAt)));
	}

	/**
	 * Returns whether a request may be sent.
	 * @param now the present time
	 * @return whether the limit leaves room for it
	 */
	boolean permits(long now) {
		refill(now);
		return this.limit == null || this.tokens >= 1;
	}

	/**
	 * Records that a request was sent.
	 * @param now the present time
	 */
	public void sent(long now) {
		refill(now);
		this.tokens = Math.max(0, this.tokens - 1);
	}

	/**
	 * Returns when a request may be sent.
	 * @param now the present time
	 * @return the time until then, zero if it may be sent now
	 */
	Duration retryAfter(long now) {
		if (this.limit == null || permits(now)) {
			return Duration.ZERO;
		}
		double seconds = (this.share > 0) ? (1 - this.tokens) / this.share : 1 / effective(this.limit);
		return Duration.ofNanos((long) (seconds * 1e9));
	}

	private static double effective(double requestsPerSecond) {
		return Math.max(MINIMUM_RATE, requestsPerSecond);
	}

	private void refill(long now) {
		if (this.limit == null || this.observedAt == null) {
			return;
		}
		long rotation = Math.max(0, now - this.observedAt) / ROTATION_INTERVAL.toNanos();
		double newShare = this.allotment.share(this.endpoint, effective(this.limit), rotation);
		if (this.share == 0 || newShare == 0) {
			this.tokens = 0;
			this.refilledAt = now;
		}
		this.share = newShare;
		double most = Math.max(1, newShare * BURST_SECONDS);
		this.tokens = Math.min(most, this.tokens + newShare * (now - this.refilledAt) / 1e9);
		this.refilledAt = now;
	}

}
