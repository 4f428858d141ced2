package org.banyancove.gateway.endpoint;

import java.time.Duration;

import org.banyancove.core.EndpointId;

/**
 * Limits this gateway's requests in flight at an endpoint that announces how many
 * rejections it bears.
 * <p>
 * Free places that several gateways know of are taken by all of them at once. While an
 * endpoint is busy, each gateway therefore uses only its share of the places: the slots,
 * and as many queued requests as the endpoint could reject without harm. While it is
 * idle, a gateway may use another one, as long as it sends little more than before. Times
 * are nanoseconds of the monotonic clock.
 */
final class ConcurrencyLimiter {

	/** Part of the tolerated rejections that queued requests may cause at most. */
	private static final double QUEUED_SHARE = 0.5;

	/** Part of the slots up to which an endpoint counts as idle. */
	private static final double IDLE_OCCUPANCY = 0.5;

	/** Maximum requests in flight at an idle endpoint beyond this gateway's share. */
	private static final int IDLE_ALLOWANCE = 1;

	/** Gateways that may use another place of an idle endpoint, relative to its slots. */
	private static final double DRAWN_FACTOR = 2;

	/** Interval at which these gateways are drawn. */
	private static final Duration DRAW_INTERVAL = Duration.ofMillis(500);

	/** Requests that may be sent to an idle endpoint relative to the recent rate. */
	private static final double MAXIMUM_GROWTH = 1.5;

	/** Requests per second that may be sent to an idle endpoint in any case. */
	private static final double MINIMUM_RATE = 0.25;

	/** Time constant of the recent rate, in ns. */
	private static final double RATE_DECAY_NANOS = 2e9;

	/** Time after a rejection for which one place less is used. */
	private static final Duration RETIREMENT = Duration.ofSeconds(1);

	/** Time after a failure for which only the share is used. */
	private static final Duration FAILURE_RETIREMENT = Duration.ofSeconds(10);

	/** Time within which another request has probably ended. */
	private static final Duration RETRY_AFTER = Duration.ofMillis(250);

	private final EndpointId endpoint;

	private final FleetAllocation allocation;

	private final RejectionTolerance tolerance;

	private int retiredPlaces;

	private long retiredUntil = Long.MIN_VALUE;

	private double rate;

	private double idleTokens;

	private long updatedAt;

	ConcurrencyLimiter(EndpointId endpoint, FleetAllocation allocation, RejectionTolerance tolerance) {
		this.endpoint = endpoint;
		this.allocation = allocation;
		this.tolerance = tolerance;
	}

	/**
	 * Returns whether another request may be sent.
	 * @param inFlight this gateway's requests in flight
	 * @param occupied the estimated requests of all gateways at the endpoint
	 * @param slots the requests that the endpoint runs at the same time
	 * @param now the current time
	 * @return whether the endpoint announces no limit, or has a place for this gateway
	 */
	boolean permits(int inFlight, double occupied, int slots, long now) {
		Double tolerated = this.tolerance.current(now);
		if (tolerated == null) {
			return true;
		}
		int share = share(tolerated, slots);
		if (now < this.retiredUntil) {
			return inFlight < share - this.retiredPlaces;
		}
		if (inFlight < share) {
			return true;
		}
		update(now);
		boolean idle = occupied < slots * IDLE_OCCUPANCY && this.idleTokens >= 1;
		return idle && inFlight < share + IDLE_ALLOWANCE && (!this.tolerance.excessDemand() || isDrawn(slots, now));
	}

	private boolean isDrawn(int slots, long now) {
		return this.allocation.drawn(this.endpoint, slots * DRAWN_FACTOR, now / DRAW_INTERVAL.toNanos());
	}

	private int share(double tolerated, int slots) {
		return this.allocation.places(this.endpoint, slots + (int) (tolerated * QUEUED_SHARE));
	}

	/**
	 * Records that a request was sent.
	 * @param inFlight this gateway's requests in flight, including this one
	 * @param slots the requests that the endpoint runs at the same time
	 * @param now the current time
	 */
	void sent(int inFlight, int slots, long now) {
		update(now);
		this.rate += 1e9 / RATE_DECAY_NANOS;
		Double tolerated = this.tolerance.current(now);
		if (tolerated != null && inFlight > share(tolerated, slots)) {
			this.idleTokens = Math.max(0, this.idleTokens - 1);
		}
	}

	private void update(long now) {
		double elapsed = now - this.updatedAt;
		this.updatedAt = now;
		this.idleTokens = Math.min(1, this.idleTokens + (this.rate * MAXIMUM_GROWTH + MINIMUM_RATE) * elapsed / 1e9);
		this.rate *= Math.exp(-elapsed / RATE_DECAY_NANOS);
	}

	/**
	 * Records that the endpoint rejected a request for want of room.
	 * @param inFlight this gateway's other requests in flight
	 * @param slots the requests that the endpoint runs at the same time
	 * @param now the current time
	 */
	void rejected(int inFlight, int slots, long now) {
		Double tolerated = this.tolerance.current(now);
		if (tolerated != null) {
			this.retiredPlaces = (inFlight < share(tolerated, slots)) ? 1 : 0;
			this.retiredUntil = now + RETIREMENT.toNanos();
		}
	}

	/**
	 * Records that the endpoint failed. It will be idle when it is back, which all
	 * gateways notice at once.
	 * @param now the current time
	 */
	void endpointFailed(long now) {
		this.retiredPlaces = 0;
		this.retiredUntil = now + FAILURE_RETIREMENT.toNanos();
	}

	/**
	 * Returns the time after which a caller that was rejected may retry.
	 * @param now the current time
	 * @return the rest of the time after a rejection, or a short time
	 */
	Duration retryAfter(long now) {
		return (now < this.retiredUntil) ? Duration.ofNanos(this.retiredUntil - now) : RETRY_AFTER;
	}

}
