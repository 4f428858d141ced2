package org.banyancove.core.peer;

/**
 * Sends messages to peers asynchronously and without a guarantee of delivery.
 */
@FunctionalInterface
public interface PeerPort {

	/**
	 * Sends a message.
	 * @param address the peer's address in the form {@code host:port}
	 * @param message the message
	 */
	void send(String address, PeerMessage message);

}
