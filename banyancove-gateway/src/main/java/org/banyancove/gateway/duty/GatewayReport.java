package org.banyancove.gateway.duty;

import org.banyancove.core.DataCenterName;

/**
 * What a gateway reports of itself a few times a second: to the aggregators of its group,
 * or in a small fleet to all others.
 *
 * @param incarnation its process
 * @param dataCenter its data centre
 * @param traffic its traffic
 * @param holdsLease whether it does the shared duties
 * @param known how far it knows shared state
 */
public record GatewayReport(long incarnation, DataCenterName dataCenter, TrafficTotals traffic, boolean holdsLease,
		KnownState known) {

}
