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
 * Something between two ends that has lost track of the first connection: it stays open,
 * its bytes are read and thrown away, and nothing comes back. Later connections work.
 */
final class SwallowingProxy implements AutoCloseable {

	private final ServerSocket server;

	private final int target;

	private final List<Socket> sockets = new CopyOnWriteArrayList<>();

	SwallowingProxy(int target) throws IOException {
		this.target = target;
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
				Socket near = this.server.accept();
				this.sockets.add(near);
				if (first) {
					Thread.ofVirtual().start(() -> swallow(near));
				}
				else {
					Socket far = new Socket(InetAddress.getLoopbackAddress(), this.target);
					this.sockets.add(far);
					Thread.ofVirtual().start(() -> copy(near, far));
					Thread.ofVirtual().start(() -> copy(far, near));
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

	private static void swallow(Socket socket) {
		try (InputStream input = socket.getInputStream()) {
			input.skip(Long.MAX_VALUE);
		}
		catch (IOException ex) {
			// The sender dropped the connection, as it should.
		}
	}

	private static void copy(Socket from, Socket to) {
		try (from; to) {
			from.getInputStream().transferTo(to.getOutputStream());
		}
		catch (IOException ex) {
			// One of the ends closed the connection.
		}
	}

}
