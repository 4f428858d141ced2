package org.banyancove.gateway.exchange;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;

/**
 * The socket on which callers' connections arrive.
 * <p>
 * It can be opened as a process's first act. Connections that arrive while the rest
 * starts wait in its queue; without it they are reset, and a caller has one more try at
 * most. This class uses nothing but the JDK, so that opening it takes a few ms.
 */
public final class ListeningSocket {

	/** Connections that wait to be accepted; a full queue costs callers seconds. */
	private static final int BACKLOG = 1024;

	private ListeningSocket() {
	}

	/**
	 * Opens the socket.
	 * @param address where to listen
	 * @return the socket, to be served by a {@link CallerServer}
	 * @throws IOException if the address cannot be listened at
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
