package org.banyancove.gateway.admission;

import java.time.Duration;

import org.banyancove.gateway.configuration.TokenQuota;

/**
 * A gateway's view of a client account's quota, which all gateways share.
 * <p>
 * An account may send many times its usual rate, unevenly distributed over the gateways.
 * Each gateway keeps the entire token bucket and deducts what it accepts as well as what
 * the other gateways report to have accepted, a quarter of a second later. Usage accepted
 * concurrently in that time overdraws the bucket, and is repaid before another request is
 * accepted. An unreachable gateway may still accept requests, so that its share of the
 * rate is reserved for it.
 * <p>
 * Times are nanoseconds of the monotonic clock.
 */
public final class QuotaLimiter {

	/**
	 * Maximum overdraft of the bucket, in seconds of its rate: a larger overdraft is only
	 * caused by delayed reports of a gateway, and would block an account for long.
	 */
	private static final double MAXIMUM_OVERDRAFT_SECONDS = 4;

	private final TokenQuota quota;

	private double level;

	private double reachableShare = 1;

	private double used;

	private long refilledAt;

	/**
	 * Creates the limiter with an empty bucket: a restarted process does not know what
	 * the other gateways accepted, and a fleet that restarts at once must not accept the
	 * burst twice.
	 * @param quota the account's quota
	 * @param now the current time
	 */
	public QuotaLimiter(TokenQuota quota, long now) {
		this.quota = quota;
		this.refilledAt = now;
		this.level = 0;
	}

	/**
	 * Returns the account's quota.
	 * @return the quota
	 */
	public TokenQuota quota() {
		return this.quota;
	}

	/**
	 * Returns a limiter for a new quota that keeps the current level and usage. With an
	 * empty bucket, each change of its quota would reject requests that the account is
	 * entitled to.
	 * @param newQuota the new quota
	 * @param now the current time
	 * @return the new limiter
	 */
	public QuotaLimiter withQuota(TokenQuota newQuota, long now) {
		refill(now);
		QuotaLimiter successor = new QuotaLimiter(newQuota, now);
		successor.level = Math.min(this.level, newQuota.burst());
		successor.reachableShare = this.reachableShare;
		successor.used = this.used;
		return successor;
	}

	/**
	 * Sets the share of the gateways that are reachable.
	 * @param newReachableShare the number of reachable gateways, this one included,
	 * relative to all gateways
	 */
	public void setReachableShare(double newReachableShare) {
		this.reachableShare = Math.clamp(newReachableShare, 0, 1);
	}

	/**
	 * Deducts the usage that another gateway reports.
	 * @param amount the costs that it accepted since its last report
	 * @param now the current time
	 */
	public void deductRemoteUsage(double amount, long now) {
		refill(now);
		this.level = Math.max(this.level - amount, -MAXIMUM_OVERDRAFT_SECONDS * this.quota.ratePerSecond());
	}

	/**
	 * Accepts a request if the bucket is not empty. A request may cost more than the
	 * bucket holds, since a prompt longer than the burst would otherwise never be
	 * accepted.
	 * @param cost the request's cost
	 * @param now the current time
	 * @return whether the request is accepted
	 */
	public boolean tryAcquire(double cost, long now) {
		refill(now);
		if (this.level <= 0) {
			return false;
		}
		this.level -= cost;
		this.used += cost;
		return true;
	}

	/**
	 * Returns the time until a request can be accepted.
	 * @return the time
	 */
	public Duration retryAfter() {
		double missing = Math.max(0, -this.level) + 1;
		return Duration
			.ofNanos((long) (1e9 * missing / (this.quota.ratePerSecond() * Math.max(this.reachableShare, 0.05))));
	}

	/**
	 * Returns the level of the bucket as of the last update.
	 * @return the level, negative if the bucket is overdrawn
	 */
	public double available() {
		return this.level;
	}

	/**
	 * Returns the total usage that this gateway accepted.
	 * @return the sum of the costs
	 */
	public double used() {
		return this.used;
	}

	private void refill(long now) {
		double seconds = Math.max(0, (now - this.refilledAt) / 1e9);
		this.refilledAt = now;
		this.level = Math.min(this.quota.burst(),
				this.level + this.quota.ratePerSecond() * this.reachableShare * seconds);
	}

}
