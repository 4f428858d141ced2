package org.banyancove.transport;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A proxy that simulates a network device which has lost its state of the first
 * connection: the connection stays open, its bytes are read and discarded, and nothing is
 * sent back. Later connections are forwarded.
 */
final class BlackHoleProxy implements AutoCloseable {

	private final ServerSocket server;

	private final int targetPort;

	private final List<Socket> sockets = new CopyOnWriteArrayList<>();

	BlackHoleProxy(int targetPort) throws IOException {
		this.targetPort = targetPort;
		this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
		Thread.ofVirtual().start(this::acceptAll);
	}

	int port() {
		return this.server.getLocalPort();
	}

	@Override
	public void close() throws IOException {
		this.server.close();
		for (Socket socket : this.sockets) {
			socket.close();
		}
	}

	private void acceptAll() {
		boolean first = true;
		while (!this.server.isClosed()) {
			try {
				Socket client = this.server.accept();
				this.sockets.add(client);
				if (first) {
					Thread.ofVirtual().start(() -> discard(client));
				}
				else {
					Socket upstream = new Socket(InetAddress.getLoopbackAddress(), this.targetPort);
					this.sockets.add(upstream);
					Thread.ofVirtual().start(() -> copy(client, upstream));
					Thread.ofVirtual().start(() -> copy(upstream, client));
				}
				first = false;
			}
			catch (IOException ex) {
				if (!this.server.isClosed()) {
					throw new UncheckedIOException(ex);
				}
			}
		}
	}

	private static void discard(Socket socket) {
		try (InputStream input = socket.getInputStream()) {
			input.skip(Long.MAX_VALUE);
		}
		catch (IOException ex) {
			// Expected: the sender closed the connection.
		}
	}

	private static void copy(Socket from, Socket to) {
		try (from; to) {
			from.getInputStream().transferTo(to.getOutputStream());
		}
		catch (IOException ex) {
			// Expected: one of the peers closed the connection.
		}
	}

}
