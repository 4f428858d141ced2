package org.banyancove.gateway.admission;

import java.time.Duration;

import org.banyancove.gateway.configuration.TokenAllowance;

/**
 * One gateway's part of a client account's allowance.
 * <p>
 * The load that it answers: one account sends many times its usual, unevenly over the
 * gateways. Each gateway gets the part of the rate that it was asked for of late, and an
 * equal part of what nobody asked for; all parts add up to the whole. A shared counter
 * would lag by a second, in which every gateway would let in the whole rate.
 * <p>
 * Times are nanoseconds of the steady clock.
 */
public final class AllowanceMeter {

	/**
	 * How fast past demand loses weight, in s: a few publications of the other gateways.
	 */
	private static final double DEMAND_LIFE_SECONDS = 3;

	/**
	 * Least part of the burst that one gateway saves up, as its part of the rate's parts:
	 * an account's requests are uneven over gateways.
	 */
	private static final double LEAST_BURST_SHARE = 0.5;

	private final TokenAllowance allowance;

	private double level;

	private double demand;

	private double othersDemand;

	private int gateways;

	private long updatedAt;

	/**
	 * Creates the meter, half full: after all gateways started anew together, no more
	 * than the burst is let in twice.
	 * @param allowance the account's allowance
	 * @param gateways the gateways that share it
	 * @param now the present time
	 */
	public AllowanceMeter(TokenAllowance allowance, int gateways, long now) {
		this.allowance = allowance;
		this.gateways = Math.max(1, gateways);
		this.updatedAt = now;
		this.level = allowance.burst() * share() / 2;
	}

	/**
	 * Takes in what the other gateways were asked for.
	 * @param newOthersDemand their demand, a second
	 * @param newGateways the gateways, this one included
	 */
	public void others(double newOthersDemand, int newGateways) {
		this.othersDemand = newOthersDemand;
		this.gateways = Math.max(1, newGateways);
	}

	/**
	 * Lets a request in if there is anything left. The last one may take more than is
	 * left, else a gateway's part could be too small for any long prompt.
	 * @param cost what the request counts
	 * @param now the present time
	 * @return whether it is let in
	 */
	public boolean tryTake(double cost, long now) {
		advance(now);
		this.demand += cost / DEMAND_LIFE_SECONDS;
		if (this.level <= 0) {
			return false;
		}
		this.level -= cost;
		return true;
	}

	/**
	 * Returns how long it takes until a request can be let in.
	 * @return the time
	 */
	public Duration timeToNext() {
		double missing = Math.max(0, -this.level) + 1;
		return Duration.ofNanos((long) (1e9 * missing / rate()));
	}

	/**
	 * Returns what this gateway was asked for of late.
	 * @param now the present time
	 * @return the demand, a second
	 */
	public double demand(long now) {
		advance(now);
		return this.demand;
	}

	private void advance(long now) {
		double seconds = Math.max(0, (now - this.updatedAt) / 1e9);
		this.updatedAt = now;
		this.demand *= Math.exp(-seconds / DEMAND_LIFE_SECONDS);
		double most = this.allowance.burst() * Math.max(share(), LEAST_BURST_SHARE / this.gateways);
		this.level = Math.min(most, this.level + rate() * seconds);
	}

	private double rate() {
		return Math.max(this.allowance.ratePerSecond() * share(), Double.MIN_NORMAL);
	}

	// The part of the whole rate: what was asked for here, and an equal part of the rest.
	private double share() {
		double whole = this.allowance.ratePerSecond();
		double total = this.demand + this.othersDemand;
		if (total >= whole) {
			return this.demand / total;
		}
		return (this.demand + (whole - total) / this.gateways) / whole;
	}

}
