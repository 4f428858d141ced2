package org.banyancove.gateway.daemon;

import java.net.InetSocketAddress;

/**
 * Sends messages to other gateways, without guaranteed delivery.
 */
interface PeerTransport {

	/**
	 * Queues a message until {@link #flush()} is called.
	 * @param address the destination
	 * @param message the content
	 */
	void write(InetSocketAddress address, byte[] message);

	/** Sends the queued messages. */
	void flush();

}
