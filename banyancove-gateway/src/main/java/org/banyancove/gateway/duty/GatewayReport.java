package org.banyancove.gateway.duty;

import java.util.Map;

import org.banyancove.core.AccountName;
import org.banyancove.core.DataCenterName;
import org.banyancove.core.EndpointId;
import org.banyancove.core.ServiceName;

/**
 * What a gateway tells the others a few times a second.
 *
 * @param incarnation its process
 * @param zone its data centre
 * @param counts the requests that began to run, by window and client account
 * @param used all that it let in, by client account, in the unit of its quota
 * @param work the milliseconds of engine time that its requests need, a second, by
 * service
 * @param loads what it has at endpoints
 * @param holdsLease whether it does the shared duties
 * @param known how far it knows shared state
 */
public record GatewayReport(long incarnation, DataCenterName zone, Map<Long, Map<AccountName, Long>> counts,
		Map<AccountName, Double> used, Map<ServiceName, Double> work, Map<EndpointId, EndpointLoad> loads,
		boolean holdsLease, KnownState known) {

	/**
	 * Creates the report.
	 */
	public GatewayReport {
		counts = Map.copyOf(counts);
		used = Map.copyOf(used);
		work = Map.copyOf(work);
		loads = Map.copyOf(loads);
	}

}
