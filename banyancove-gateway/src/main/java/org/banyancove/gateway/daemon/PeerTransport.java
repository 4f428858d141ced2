package org.banyancove.gateway.daemon;

import java.net.InetSocketAddress;

/**
 * Sends messages to other gateways, which may be lost.
 */
interface PeerTransport {

	/**
	 * Queues a message, which {@link #flush()} sends.
	 * @param address where to
	 * @param message its content
	 */
	void write(InetSocketAddress address, byte[] message);

	/** Sends what is queued. */
	void flush();

}
