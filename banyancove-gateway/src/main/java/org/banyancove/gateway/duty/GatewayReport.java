package org.banyancove.gateway.duty;

import org.banyancove.core.DataCenterName;

/**
 * The report that a gateway sends several times per second to the aggregators of its
 * group, or to all other gateways in a small fleet.
 *
 * @param incarnation the incarnation of its process
 * @param dataCenter its data centre
 * @param traffic its traffic
 * @param holdsLease whether it holds the lease of the fleet-wide duties
 * @param sharedState the version of the shared state that it has applied
 */
public record GatewayReport(long incarnation, DataCenterName dataCenter, TrafficTotals traffic, boolean holdsLease,
		SharedStateVersion sharedState) {

}
