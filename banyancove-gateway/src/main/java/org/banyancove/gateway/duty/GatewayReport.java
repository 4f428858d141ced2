package org.banyancove.gateway.duty;

import java.util.Map;

import org.banyancove.core.AccountName;
import org.banyancove.core.ServiceName;

/**
 * What a gateway tells the others about once a second.
 *
 * @param incarnation its process
 * @param counts the requests that began to run, by window and client account
 * @param demand what it was asked for, a second, by client account
 * @param inFlight its requests at endpoints, by service
 */
public record GatewayReport(long incarnation, Map<Long, Map<AccountName, Long>> counts, Map<AccountName, Double> demand,
		Map<ServiceName, Integer> inFlight) {

	/**
	 * Creates the report.
	 */
	public GatewayReport {
		counts = Map.copyOf(counts);
		demand = Map.copyOf(demand);
		inFlight = Map.copyOf(inFlight);
	}

}
