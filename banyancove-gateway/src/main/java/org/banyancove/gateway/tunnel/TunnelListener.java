package org.banyancove.gateway.tunnel;

import java.net.InetSocketAddress;

/**
 * Receives the outcomes of tunnels, on the gateway that opens them and on the one that
 * accepts them.
 */
public interface TunnelListener {

	/**
	 * Called when a tunnel to an endpoint was opened.
	 * @param requestId the request that needs it
	 * @param endpoint the address of the endpoint
	 * @param peer the name of the gateway that it leads through
	 */
	void tunnelOpened(String requestId, InetSocketAddress endpoint, String peer);

	/**
	 * Called when a tunnel to an endpoint could not be opened.
	 * @param requestId the request that needs it
	 * @param endpoint the address of the endpoint
	 * @param peer the name of the gateway that it should have led through
	 * @param reason the reason
	 */
	void tunnelFailed(String requestId, InetSocketAddress endpoint, String peer, String reason);

	/**
	 * Called when another gateway's tunnel was connected to an endpoint.
	 * @param requestId the request that needs it
	 * @param endpoint the address of the endpoint
	 * @param from the address of the other gateway
	 */
	void tunnelAccepted(String requestId, InetSocketAddress endpoint, InetSocketAddress from);

	/**
	 * Called when another gateway's tunnel was refused.
	 * @param requestId the request that needs it
	 * @param target the requested address
	 * @param from the address of the other gateway
	 * @param reason the reason
	 */
	void tunnelRefused(String requestId, String target, InetSocketAddress from, TunnelRefusal reason);

}
