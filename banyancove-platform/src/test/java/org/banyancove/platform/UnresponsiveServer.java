package org.banyancove.platform;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An HTTP server that can stop responding on its open connections, as after a network
 * device has lost their state, while new connections work.
 */
final class UnresponsiveServer implements AutoCloseable {

	private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

	private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();

	private final List<Socket> sockets = new CopyOnWriteArrayList<>();

	private final AtomicInteger requests = new AtomicInteger();

	private final String body;

	private volatile int unresponsiveConnections;

	private volatile boolean omitBody;

	UnresponsiveServer(String body) throws IOException {
		this.body = body;
		this.executor.execute(this::accept);
	}

	URI address() {
		return URI.create("http://127.0.0.1:" + this.server.getLocalPort());
	}

	int connections() {
		return this.sockets.size();
	}

	int requests() {
		return this.requests.get();
	}

	/**
	 * Stops responding on all currently open connections, which still read requests.
	 */
	void stopRespondingOnOpenConnections() {
		this.unresponsiveConnections = this.sockets.size();
	}

	/**
	 * Stops responding on all connections, open or new, which still read requests.
	 */
	void stopResponding() {
		this.unresponsiveConnections = Integer.MAX_VALUE;
	}

	/**
	 * Sets whether responses end after their headers.
	 * @param stop whether to omit the response body
	 */
	void stopAfterHeaders(boolean stop) {
		this.omitBody = stop;
	}

	@Override
	public void close() throws IOException {
		this.server.close();
		for (Socket socket : this.sockets) {
			socket.close();
		}
		this.executor.shutdownNow();
	}

	private void accept() {
		try {
			while (true) {
				Socket socket = this.server.accept();
				this.sockets.add(socket);
				int number = this.sockets.size();
				this.executor.execute(() -> serve(socket, number));
			}
		}
		catch (IOException ex) {
			// Expected: the test closed the server socket.
		}
	}

	private void serve(Socket socket, int number) {
		try {
			BufferedReader reader = new BufferedReader(
					new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
			while (readRequest(reader)) {
				this.requests.incrementAndGet();
				if (number > this.unresponsiveConnections) {
					respond(socket.getOutputStream());
				}
			}
		}
		catch (IOException ex) {
			// Expected: the client closed the connection.
		}
	}

	private void respond(OutputStream output) throws IOException {
		String head = "HTTP/1.1 200 OK\r\nContent-Length: " + this.body.length() + "\r\n\r\n";
		output.write((head + (this.omitBody ? "" : this.body)).getBytes(StandardCharsets.UTF_8));
		output.flush();
	}

	private static boolean readRequest(BufferedReader reader) throws IOException {
		int length = 0;
		String line = reader.readLine();
		while (line != null && !line.isEmpty()) {
			if (line.startsWith("Content-Length: ")) {
				length = Integer.parseInt(line.substring("Content-Length: ".length()));
			}
			line = reader.readLine();
		}
		for (int i = 0; i < length; i++) {
			reader.read();
		}
		return line != null;
	}

}
