package org.banyancove.gateway.tunnel;

import java.time.Duration;

import io.netty.channel.Channel;

/**
 * An open tunnel of another gateway to an endpoint.
 */
final class Tunnel {

	private final Channel gatewaySide;

	private final EndpointConnector connector;

	private long lastDataAt;

	private boolean requestInProgress;

	Tunnel(Channel gatewaySide, Channel endpointSide, EndpointConnector connector) {
		this.gatewaySide = gatewaySide;
		this.connector = connector;
		this.lastDataAt = connector.now();
		gatewaySide.pipeline().addLast(new TunnelHandler(endpointSide, () -> recordData(true)));
		endpointSide.pipeline().addLast(new TunnelHandler(gatewaySide, () -> recordData(false)));
		if (!endpointSide.isActive()) {
			gatewaySide.close();
		}
	}

	private void recordData(boolean fromGateway) {
		this.requestInProgress = fromGateway;
		this.lastDataAt = this.connector.now();
	}

	// A request without a response is left to the gateway that sent it, which knows its
	// deadline.
	void closeIfIdle(Duration maximumIdleTime, long now) {
		if (!this.requestInProgress && now - this.lastDataAt > maximumIdleTime.toNanos()) {
			this.gatewaySide.close();
		}
	}

}
