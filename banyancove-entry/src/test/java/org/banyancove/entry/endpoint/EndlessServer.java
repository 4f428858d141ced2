package org.banyancove.entry.endpoint;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A server that answers each connection with a beginning, then repeats a part as fast as
 * it is read. It falls silent after {@value #MAXIMUM_BYTES} bytes, so that a test of a
 * client without a bound ends.
 */
final class EndlessServer implements AutoCloseable {

	static final long MAXIMUM_BYTES = 160 << 20;

	private static final int PART_BYTES = 1 << 16;

	private final ServerSocket server = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());

	private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();

	private final List<Socket> sockets = new CopyOnWriteArrayList<>();

	private final AtomicLong sent = new AtomicLong();

	private final AtomicInteger accepted = new AtomicInteger();

	private final byte[] beginning;

	private final byte[] parts;

	EndlessServer(String beginning, String part) throws IOException {
		this.beginning = beginning.getBytes(StandardCharsets.ISO_8859_1);
		this.parts = part.repeat(PART_BYTES / part.length()).getBytes(StandardCharsets.ISO_8859_1);
		this.executor.execute(this::accept);
	}

	String address() {
		return "127.0.0.1:" + this.server.getLocalPort();
	}

	// The bytes that all clients have taken, with those in the buffers of connections.
	long sent() {
		return this.sent.get();
	}

	int accepted() {
		return this.accepted.get();
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
				this.accepted.incrementAndGet();
				this.sockets.add(socket);
				this.executor.execute(() -> serve(socket));
			}
		}
		catch (IOException ex) {
			// Expected: the test closed the server socket.
		}
	}

	private void serve(Socket socket) {
		try {
			if (socket.getInputStream().read() < 0) {
				return;
			}
			OutputStream output = socket.getOutputStream();
			output.write(this.beginning);
			while (this.sent.get() < MAXIMUM_BYTES) {
				output.write(this.parts);
				this.sent.addAndGet(this.parts.length);
			}
		}
		catch (IOException ex) {
			// Expected: the client closed the connection.
		}
	}

}
