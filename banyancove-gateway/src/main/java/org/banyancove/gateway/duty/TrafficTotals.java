package org.banyancove.gateway.duty;

import java.util.Map;

import org.banyancove.core.AccountName;
import org.banyancove.core.EndpointId;
import org.banyancove.core.ServiceName;
import org.banyancove.gateway.endpoint.ObservedRateLimit;
import org.banyancove.gateway.rollout.RolloutReport;

/**
 * The traffic of one gateway, or the sums of several.
 *
 * @param counts the requests that began to run, by usage window and client account
 * @param used all that was accepted since the process started, by client account, in the
 * unit of its quota
 * @param work the engine time that the requests need, in ms a second, by service
 * @param loads the requests at endpoints
 * @param rollouts what is reported of rollouts
 * @param rateLimits the newest rate limits that endpoints named
 */
public record TrafficTotals(Map<Long, Map<AccountName, Long>> counts, Map<AccountName, Double> used,
		Map<ServiceName, Double> work, Map<EndpointId, EndpointLoad> loads, RolloutReport rollouts,
		Map<EndpointId, ObservedRateLimit> rateLimits) {

	/** No traffic. */
	public static final TrafficTotals NONE = new TrafficTotals(Map.of(), Map.of(), Map.of(), Map.of(),
			RolloutReport.NONE, Map.of());

	/**
	 * Creates the totals.
	 */
	public TrafficTotals {
		counts = Map.copyOf(counts);
		used = Map.copyOf(used);
		work = Map.copyOf(work);
		loads = Map.copyOf(loads);
		rateLimits = Map.copyOf(rateLimits);
	}

}
