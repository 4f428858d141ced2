package org.banyancove.gateway.duty;

import java.util.Map;

import org.banyancove.core.AccountName;
import org.banyancove.core.EndpointId;
import org.banyancove.core.ServiceName;
import org.banyancove.gateway.endpoint.ObservedRateLimit;
import org.banyancove.gateway.endpoint.ObservedSlowdown;
import org.banyancove.gateway.rollout.RolloutReport;

/**
 * The traffic of one gateway, or the aggregated traffic of several.
 *
 * @param usageCounts the number of requests started, by usage window and client account
 * @param quotaUsed the quota used since the process started, by client account, in the
 * unit of the quota
 * @param demand the engine time required by the requests, in ms per second, by service
 * @param loads the load at each endpoint
 * @param rollouts the samples of the rollouts
 * @param rateLimits the newest rate limits that endpoints reported
 * @param slowdowns the newest slowdowns that endpoints announced
 */
public record TrafficTotals(Map<Long, Map<AccountName, Long>> usageCounts, Map<AccountName, Double> quotaUsed,
		Map<ServiceName, Double> demand, Map<EndpointId, EndpointLoad> loads, RolloutReport rollouts,
		Map<EndpointId, ObservedRateLimit> rateLimits, Map<EndpointId, ObservedSlowdown> slowdowns) {

	/** No traffic. */
	public static final TrafficTotals NONE = new TrafficTotals(Map.of(), Map.of(), Map.of(), Map.of(),
			RolloutReport.NONE, Map.of(), Map.of());

	/**
	 * Creates totals.
	 */
	public TrafficTotals {
		usageCounts = Map.copyOf(usageCounts);
		quotaUsed = Map.copyOf(quotaUsed);
		demand = Map.copyOf(demand);
		loads = Map.copyOf(loads);
		rateLimits = Map.copyOf(rateLimits);
		slowdowns = Map.copyOf(slowdowns);
	}

}
