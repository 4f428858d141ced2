package org.banyancove.gateway.duty;

import org.banyancove.core.DataCenterName;

/**
 * What a gateway reports of itself to the aggregators of its group, a few times a second.
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
