package org.banyancove.gateway.admission;

import java.time.Duration;

import org.banyancove.gateway.configuration.TokenQuota;

/**
 * A gateway's view of what is left of a client account's quota, which all gateways share.
 * <p>
 * One account sends many times its usual, unevenly over the gateways. Each gateway keeps
 * the whole bucket and takes out of it what it lets in and what the others tell that they
 * let in, a quarter of a second later. What is let in twice in that time makes the bucket
 * negative and is paid back before anything else is let in. A gateway that is unreachable
 * may be letting in its part, so its part of the rate is left to it.
 * <p>
 * Times are nanoseconds of the steady clock.
 */
public final class QuotaLimiter {

	/**
	 * The most that the bucket can be overdrawn, in seconds of its rate: more can only be
	 * due to figures of a gateway that came late, and would lock an account out for long.
	 */
	private static final double MOST_OVERDRAWN_SECONDS = 4;

	private final TokenQuota quota;

	private double level;

	private double share = 1;

	private double used;

	private long updatedAt;

	/**
	 * Creates the meter, empty: a process that starts anew doesn't know what the others
	 * let in, and a fleet that starts anew together must not let the burst in twice.
	 * @param quota the account's quota
	 * @param now the present time
	 */
	public QuotaLimiter(TokenQuota quota, long now) {
		this.quota = quota;
		this.updatedAt = now;
		this.level = 0;
	}

	/**
	 * Returns the quota that is metered.
	 * @return the quota
	 */
	public TokenQuota quota() {
		return this.quota;
	}

	/**
	 * Returns a meter of a changed quota that goes on from what is left. One that began
	 * empty would reject what the account is owed each time its limit is changed.
	 * @param changed the quota
	 * @param now the present time
	 * @return the meter
	 */
	public QuotaLimiter changedTo(TokenQuota changed, long now) {
		advance(now);
		QuotaLimiter successor = new QuotaLimiter(changed, now);
		successor.level = Math.min(this.level, changed.burst());
		successor.share = this.share;
		successor.used = this.used;
		return successor;
	}

	/**
	 * Takes in how much of the fleet is reachable.
	 * @param newShare the gateways that are reachable, this one included, as a part of
	 * all
	 */
	public void reachable(double newShare) {
		this.share = Math.clamp(newShare, 0, 1);
	}

	/**
	 * Takes out what another gateway let in.
	 * @param amount what it let in since it told last
	 * @param now the present time
	 */
	public void usedElsewhere(double amount, long now) {
		advance(now);
		this.level = Math.max(this.level - amount, -MOST_OVERDRAWN_SECONDS * this.quota.ratePerSecond());
	}

	/**
	 * Lets a request in if there is anything left. The last one may take more than is
	 * left, else no prompt longer than the burst would ever be let in.
	 * @param cost what the request counts
	 * @param now the present time
	 * @return whether it is let in
	 */
	public boolean tryAcquire(double cost, long now) {
		advance(now);
		if (this.level <= 0) {
			return false;
		}
		this.level -= cost;
		this.used += cost;
		return true;
	}

	/**
	 * Returns how long it takes until a request can be let in.
	 * @return the time
	 */
	public Duration retryAfter() {
		double missing = Math.max(0, -this.level) + 1;
		return Duration.ofNanos((long) (1e9 * missing / (this.quota.ratePerSecond() * Math.max(this.share, 0.05))));
	}

	/**
	 * Returns what is left, as of the last change.
	 * @return the amount, negative if more was let in than was earned
	 */
	public double left() {
		return this.level;
	}

	/**
	 * Returns all that this gateway let in.
	 * @return the sum of the costs
	 */
	public double used() {
		return this.used;
	}

	private void advance(long now) {
		double seconds = Math.max(0, (now - this.updatedAt) / 1e9);
		this.updatedAt = now;
		this.level = Math.min(this.quota.burst(), this.level + this.quota.ratePerSecond() * this.share * seconds);
	}

}
