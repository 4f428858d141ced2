package org.banyancove.gateway.shared;

import java.net.InetSocketAddress;

/**
 * A run that an endpoint has stopped so that a request can continue it.
 *
 * @param source the address of the endpoint that stopped it
 * @param handle the handle that the endpoint gave it, which can be used once
 */
public record StoppedRun(InetSocketAddress source, String handle) {

	/**
	 * Creates the run.
	 * @throws IllegalArgumentException if {@code handle} is blank
	 */
	public StoppedRun {
		if (handle.isBlank()) {
			throw new IllegalArgumentException("handle must not be blank: '" + handle + "'");
		}
	}

}
