package org.banyancove.gateway.tunnel;

import java.net.InetSocketAddress;

/**
 * A listener that ignores everything.
 */
final class NoOpTunnelListener implements TunnelListener {

	@Override
	public void tunnelOpened(String requestId, InetSocketAddress endpoint, String peer) {
	}

	@Override
	public void tunnelFailed(String requestId, InetSocketAddress endpoint, String peer, String reason) {
	}

	@Override
	public void tunnelAccepted(String requestId, InetSocketAddress endpoint, InetSocketAddress from) {
	}

	@Override
	public void tunnelRefused(String requestId, String target, InetSocketAddress from, TunnelRefusal reason) {
	}

}
