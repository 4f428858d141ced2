package org.banyancove.gateway.exchange;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;

/**
 * Opens the server socket for callers.
 * <p>
 * A process can open it before anything else. Connections that are established during
 * startup wait in its backlog; without the socket they would be refused, and a caller
 * retries at most once. This class uses nothing but the JDK, so that opening the socket
 * takes only a few ms.
 */
public final class ListeningSocket {

	/** If the backlog is full, callers lose seconds before they can connect. */
	static final int BACKLOG = 1024;

	private ListeningSocket() {
	}

	/**
	 * Opens the socket.
	 * @param address the address to bind
	 * @return the socket, to be served by a {@link CallerServer}
	 * @throws IOException if the address cannot be bound
	 */
	public static ServerSocketChannel open(InetSocketAddress address) throws IOException {
		ServerSocketChannel socket = ServerSocketChannel.open();
		try {
			socket.setOption(StandardSocketOptions.SO_REUSEADDR, true);
			return socket.bind(address, BACKLOG);
		}
		catch (IOException ex) {
			socket.close();
			throw ex;
		}
	}

}
