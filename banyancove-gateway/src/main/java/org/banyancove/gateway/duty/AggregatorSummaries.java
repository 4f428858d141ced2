package org.banyancove.gateway.duty;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.banyancove.core.AccountName;
import org.jspecify.annotations.Nullable;

/**
 * The summaries that several aggregators report of the same gateways.
 */
final class AggregatorSummaries {

	private final Map<Long, Received> newest = new HashMap<>();

	private final QuotaUsageReconciler reconciler;

	AggregatorSummaries(Duration reachableTimeout) {
		this.reconciler = new QuotaUsageReconciler(reachableTimeout);
	}

	/**
	 * Records a summary.
	 * @param summary the summary
	 * @param used the quota used by its gateways, by client account
	 * @param now the time of receipt
	 * @return the quota use to charge, by client account
	 */
	Map<AccountName, Double> read(FleetSummary summary, Map<AccountName, Double> used, long now) {
		this.newest.put(summary.incarnation(), new Received(summary, now));
		return this.reconciler.update(summary.incarnation(), used, now);
	}

	/**
	 * Returns the preferred summary: from the responding aggregator to which the most
	 * gateways report.
	 * @param now the current time
	 * @param responseTimeout the time without a summary after which an aggregator is
	 * considered unresponsive
	 * @return the summary, or {@code null} if there is none
	 */
	@Nullable Received preferred(long now, Duration responseTimeout) {
		Comparator<Received> order = Comparator
			.comparing((Received received) -> now - received.at() < responseTimeout.toNanos())
			.thenComparing((received) -> received.summary().reachable())
			.thenComparing(Received::at);
		return this.newest.values().stream().max(order).orElse(null);
	}

	void expire(long now, Duration timeout) {
		List<Long> expired = this.newest.entrySet()
			.stream()
			.filter((entry) -> now - entry.getValue().at() > timeout.toNanos())
			.map(Map.Entry::getKey)
			.toList();
		for (Long sender : expired) {
			this.newest.remove(sender);
			this.reconciler.removeSender(sender);
		}
	}

	boolean isEmpty() {
		return this.newest.isEmpty();
	}

	/**
	 * A received summary.
	 *
	 * @param summary the summary
	 * @param at the time of receipt, in ns of the monotonic clock
	 */
	record Received(FleetSummary summary, long at) {
	}

}
