package org.banyancove.gateway.shared;

import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.banyancove.core.AccountName;
import org.banyancove.core.DataCenterName;
import org.banyancove.core.ServiceName;

/**
 * The platform calls that one gateway, the lease holder, makes on behalf of all gateways.
 */
public interface Duties {

	/**
	 * Reports the number of requests that began to run in a window.
	 * @param fence the fencing token of the lease
	 * @param window the window number
	 * @param counts the number of requests by client account
	 * @return whether the report was accepted; {@code false} if it may be retried
	 */
	CompletableFuture<Boolean> reportUsage(long fence, long window, Map<AccountName, Long> counts);

	/**
	 * Sets the desired number of endpoints.
	 * @param fence the fencing token of the lease
	 * @param service the service
	 * @param dataCenter the data centre
	 * @param reclaimable whether the order is for endpoints on reclaimable VMs
	 * @param count the desired number
	 * @return whether the order was accepted
	 */
	CompletableFuture<Boolean> orderEndpoints(long fence, ServiceName service, DataCenterName dataCenter,
			boolean reclaimable, int count);

}
