package org.banyancove.gateway.shared;

import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.banyancove.core.AccountName;
import org.banyancove.core.DataCenterName;
import org.banyancove.core.ServiceName;

/**
 * The calls that one gateway makes for all.
 */
public interface Duties {

	/**
	 * Reports the requests that began to run in a window.
	 * @param fence the number of the lease under which it is done
	 * @param window the window's number
	 * @param counts the requests of each client account
	 * @return whether the report was taken; {@code false} if it may be sent again
	 */
	CompletableFuture<Boolean> reportUsage(long fence, long window, Map<AccountName, Long> counts);

	/**
	 * Orders a number of endpoints.
	 * @param fence the number of the lease under which it is done
	 * @param service the service
	 * @param zone the data centre
	 * @param reclaimable whether the order is for endpoints that may be taken away
	 * @param count how many there are to be
	 * @return whether the order was taken
	 */
	CompletableFuture<Boolean> orderEndpoints(long fence, ServiceName service, DataCenterName zone, boolean reclaimable,
			int count);

}
