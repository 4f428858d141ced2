package org.banyancove.gateway.tunnel;

import java.time.Duration;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.DuplexChannel;

/**
 * An open tunnel of another gateway to an endpoint.
 */
final class Tunnel {

	private final Channel gatewaySide;

	private final EndpointConnector connector;

	private final boolean closedByOpener;

	private long lastDataAt;

	private boolean requestInProgress;

	Tunnel(Channel gatewaySide, Channel endpointSide, EndpointConnector connector, boolean closedByOpener) {
		this.gatewaySide = gatewaySide;
		this.connector = connector;
		this.closedByOpener = closedByOpener;
		this.lastDataAt = connector.now();
		// A response may be delimited by the end of its connection: only the endpoint's
		// end is passed on as one, any other, also of the process, resets the tunnel.
		gatewaySide.config().setOption(ChannelOption.SO_LINGER, 0);
		gatewaySide.pipeline()
			.addLast(new TunnelHandler(endpointSide, () -> recordData(true), ChannelFutureListener.CLOSE));
		endpointSide.pipeline()
			.addLast(new EndpointEndHandler(gatewaySide),
					new TunnelHandler(gatewaySide, () -> recordData(false), Tunnel::endResponse));
		if (!endpointSide.isActive()) {
			gatewaySide.close();
		}
	}

	// The gateway closes its side once it has read everything.
	private static void endResponse(ChannelFuture written) {
		if (written.isSuccess() && written.channel() instanceof DuplexChannel gatewaySide) {
			gatewaySide.config().setAutoRead(true);
			gatewaySide.shutdownOutput();
		}
		else {
			written.channel().close();
		}
	}

	private void recordData(boolean fromGateway) {
		this.requestInProgress = fromGateway;
		this.lastDataAt = this.connector.now();
	}

	// A request in progress is left to the gateway that sent it, which knows its deadline
	// and, unlike this side, also where its response ends. An earlier version of it does
	// not close its idle tunnels.
	void closeIfIdle(Duration maximumIdleTime, long now) {
		if (!this.closedByOpener && !this.requestInProgress && now - this.lastDataAt > maximumIdleTime.toNanos()) {
			this.gatewaySide.close();
		}
	}

}
