package org.banyancove.gateway.exchange;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.SplittableRandom;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import org.banyancove.core.DataCenterName;
import org.banyancove.gateway.tunnel.EndpointConnector;
import org.banyancove.gateway.tunnel.TunnelPeer;
import org.banyancove.gateway.tunnel.TunnelServer;

/**
 * Another gateway on the loopback address, as far as tunnels are concerned.
 */
final class LoopbackTunnel {

	private LoopbackTunnel() {
	}

	/** Starts the gateway and tells the pool of it. */
	static void open(EventLoopGroup eventLoops, ConnectionPool connections) throws IOException, InterruptedException {
		InetAddress loopback = InetAddress.getLoopbackAddress();
		InetSocketAddress address;
		try (ServerSocket free = new ServerSocket(0, 1, loopback)) {
			address = new InetSocketAddress(loopback, free.getLocalPort());
		}
		EndpointConnector connector = new EndpointConnector(eventLoops.next(), System::nanoTime, NioSocketChannel::new,
				new SplittableRandom(1));
		new TunnelServer(eventLoops, connector, (from) -> true, (target) -> true, new NoOpRequestLog()).listen(address);
		DataCenterName dataCenter = new DataCenterName("zone");
		connections.connector()
			.peers()
			.update(new TunnelPeer("own", address, dataCenter), List.of(new TunnelPeer("other", address, dataCenter)));
	}

}
