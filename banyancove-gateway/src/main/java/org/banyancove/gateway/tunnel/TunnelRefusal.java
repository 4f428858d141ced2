package org.banyancove.gateway.tunnel;

import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * The reasons for which a gateway refuses a tunnel.
 */
public enum TunnelRefusal {

	/** The sender is not a gateway of the fleet. */
	NOT_A_GATEWAY(403),

	/** The target is not the address of a listed endpoint. */
	NOT_AN_ENDPOINT(404),

	/** The maximum number of tunnels is open. */
	TOO_MANY_TUNNELS(503),

	/** The gateway is shutting down. */
	SHUTTING_DOWN(503),

	/** The gateway cannot reach the endpoint itself. */
	ENDPOINT_UNREACHABLE(502);

	private final int status;

	TunnelRefusal(int status) {
		this.status = status;
	}

	HttpResponseStatus status() {
		return HttpResponseStatus.valueOf(this.status);
	}

}
