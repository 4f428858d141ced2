package org.banyancove.transport;

import org.banyancove.core.peer.PeerMessage;

/**
 * Receives the messages of peers. Called on the transport's thread, so an implementation
 * must not block and only hands the message to another thread.
 */
@FunctionalInterface
public interface PeerListener {

	/**
	 * Called for each received message.
	 * @param message the message
	 */
	void onMessage(PeerMessage message);

}
