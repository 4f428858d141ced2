package org.banyancove.gateway.tunnel;

import org.banyancove.core.ServiceName;

/**
 * What a connection to an endpoint is needed for.
 *
 * @param service the endpoint's service
 * @param alternatives the number of endpoints that the service has
 * @param requestId the request, for logs
 * @param listener receives the outcomes of tunnels
 */
public record ConnectContext(ServiceName service, int alternatives, String requestId, TunnelListener listener) {

	/**
	 * Creates the context.
	 * @throws IllegalArgumentException if {@code alternatives} is below 1
	 */
	public ConnectContext {
		if (alternatives < 1) {
			throw new IllegalArgumentException("alternatives must be at least 1: " + alternatives);
		}
	}

}
