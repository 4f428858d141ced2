package org.banyancove.gateway.duty;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import org.banyancove.core.AccountName;

/**
 * Computes the quota used at other gateways that is not yet charged here, by client
 * account.
 * <p>
 * Two aggregators report the same gateways, with sums that start at different times. Each
 * sum is aligned with the charged total when it is first received, and only the excess
 * over that total is charged. Usage is therefore neither charged twice nor lost when one
 * aggregator fails.
 */
final class QuotaUsageReconciler {

	private final Duration reachableTimeout;

	private final Map<Long, Map<AccountName, Double>> offsets = new HashMap<>();

	private final Map<AccountName, Double> charged = new HashMap<>();

	private long lastReceivedAt;

	QuotaUsageReconciler(Duration reachableTimeout) {
		this.reachableTimeout = reachableTimeout;
	}

	/**
	 * Records the newest sums of a sender.
	 * @param sender the incarnation of the reporting process
	 * @param sums the total quota used since the sender started, by client account
	 * @param now the current time
	 * @return the quota use to charge, by client account
	 */
	Map<AccountName, Double> update(long sender, Map<AccountName, Double> sums, long now) {
		double chargeableFraction = chargeableFraction(now - this.lastReceivedAt);
		this.lastReceivedAt = now;
		Map<AccountName, Double> offset = this.offsets.computeIfAbsent(sender, (key) -> align(sums));
		Map<AccountName, Double> charge = new HashMap<>();
		sums.forEach((account, sum) -> {
			double chargedBefore = this.charged.getOrDefault(account, 0.0);
			double aligned = sum + offset.getOrDefault(account, 0.0);
			if (aligned > chargedBefore) {
				this.charged.put(account, aligned);
				charge.put(account, chargeableFraction * (aligned - chargedBefore));
			}
		});
		return charge;
	}

	// Returns the offset that aligns a sender's first sums with the charged totals.
	private Map<AccountName, Double> align(Map<AccountName, Double> sums) {
		Map<AccountName, Double> offset = new HashMap<>(this.charged);
		sums.forEach((account, sum) -> offset.merge(account, -sum, Double::sum));
		return offset;
	}

	// An unreachable gateway keeps its share of each quota. If the usage it accepted
	// during a network partition were charged afterwards, its client accounts would be
	// rejected at all gateways.
	private double chargeableFraction(long nanosSinceLast) {
		return Math.min(1, this.reachableTimeout.toNanos() / (double) Math.max(1, nanosSinceLast));
	}

	/**
	 * Removes a sender and realigns the sums of the others: a sender that missed reports
	 * would otherwise remain below the charged total and hide subsequent usage.
	 * @param sender the incarnation of the reporting process
	 */
	void removeSender(long sender) {
		if (this.offsets.remove(sender) != null) {
			this.offsets.clear();
		}
	}

}
